// Command camphorcroft runs every role of the dispatcher.
package main

func main() {
}
