__all__ = ['ttypes', 'constants', 'Member']
