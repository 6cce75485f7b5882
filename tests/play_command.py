"""What the commands have in common that play scenarios and seeds by hand."""


def parse_seeds(arguments):
    """Return the seeds and the other words of a command line.

    Parameters
    ----------
    arguments : list of str
        The first seed, the number of seeds, and other words.

    Returns
    -------
    tuple of range and list of str

    Raises
    ------
    ValueError
        If one of the first two is missing or is not a number.
    """
    first, count, *others = arguments
    return range(int(first), int(first) + int(count)), others


def play_all(plays, describe):
    """Play one after the other, and print what `describe` says of each.

    Parameters
    ----------
    plays : iterable of object
        Each with a method ``play``; made when its turn comes.
    describe : callable
        Takes a play that has ended; returns the line to print.
    """
    for play in plays:
        play.play()
        print(describe(play), flush=True)
