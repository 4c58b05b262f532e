// Command waxload is part of the waxwingdrift router fleet.
package main

func main() {}
