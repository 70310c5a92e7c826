"""Tests; most modules cover the package module of the same name."""
