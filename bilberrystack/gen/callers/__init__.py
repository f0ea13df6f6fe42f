__all__ = ['ttypes', 'constants', 'Caller']
