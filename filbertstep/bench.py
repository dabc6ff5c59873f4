"""The bench of both example deployments, with baselines in the same run."""

from filbertstep._bench import main as main

if __name__ == '__main__':
    main()
