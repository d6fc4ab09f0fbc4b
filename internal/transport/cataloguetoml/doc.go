// Package cataloguetoml reads and writes the operators' catalogue in its
// published format, TOML with names in Pascal case.
package cataloguetoml
