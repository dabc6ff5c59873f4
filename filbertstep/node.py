"""The daemon of an entry VM."""

from filbertstep._node import main as main
from filbertstep._node import Node as Node
from filbertstep._node import serve as serve

if __name__ == '__main__':
    main()
