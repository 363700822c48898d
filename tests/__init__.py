"""Tests of flamingoweir."""
