"""TLS contexts from settings, checked before anything starts."""

import ssl

import result

from filbertstep import settings


def server_context(listener: settings.Listener) -> ssl.SSLContext | None:
    """Return the context of a listener, or None for plain HTTP."""
    if listener.certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(listener.certificate, listener.private_key)
    return context


def client_context(ca_file: str | None) -> ssl.SSLContext | None:
    """Return the context that verifies servers, or None for the default."""
    if ca_file is None:
        return None
    return ssl.create_default_context(cafile=ca_file)


def check_files(options: settings.NodeSettings) -> result.Result[None, str]:
    """Load all files that the settings name; the error names the field."""
    for field in ('callers', 'peers', 'operators'):
        try:
            server_context(getattr(options, field))
        except (OSError, ValueError) as error:
            return result.Err(f'cannot use certificate - at `$.{field}.tls`: '
                              f'{error}')  # fmt: skip
    return check_ca_file(options.ca_file)


def check_ca_file(ca_file: str | None) -> result.Result[None, str]:
    """Load a file of certificate authorities."""
    try:
        client_context(ca_file)
    except (OSError, ValueError) as error:
        return result.Err(f'cannot use - at `$.ca_file`: {error}')
    return result.Ok(None)
