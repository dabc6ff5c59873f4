"""TLS contexts of listeners and clients, and a check of their files."""

import ssl

import result

from filbertstep import settings


def server_context(listener: settings.Listener) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, or None for plain HTTP.

    Raises OSError or ValueError if a file cannot be loaded.
    """
    if listener.certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(listener.certificate, listener.private_key)
    return context


def client_context(ca_file: str | None) -> ssl.SSLContext | None:
    """Return a TLS context that trusts the authorities in ``ca_file``.

    Without a file, None is returned; the HTTP client then uses its default.
    Raises OSError or ValueError if the file cannot be loaded.
    """
    if ca_file is None:
        return None
    return ssl.create_default_context(cafile=ca_file)


def check_files(
    node_settings: settings.NodeSettings,
) -> result.Result[None, str]:
    """Check that all TLS files of the settings can be loaded.

    The error message names the field of the settings.
    """
    for listener_name in ('callers', 'peers', 'operators'):
        try:
            server_context(getattr(node_settings, listener_name))
        except (OSError, ValueError) as error:
            return result.Err(
                f'cannot use certificate - at `$.{listener_name}.tls`: {error}'
            )
    return check_ca_file(node_settings.ca_file)


def check_ca_file(ca_file: str | None) -> result.Result[None, str]:
    """Check that a file with certificate authorities can be loaded."""
    try:
        client_context(ca_file)
    except (OSError, ValueError) as error:
        return result.Err(f'cannot use - at `$.ca_file`: {error}')
    return result.Ok(None)
