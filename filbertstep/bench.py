"""Command that benchmarks both example deployments against baselines."""

from filbertstep._bench import main as main

if __name__ == '__main__':
    main()
