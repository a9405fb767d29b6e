/** A fault of the command line: a wrong option, or a file that is not there. */
export class CommandLineError extends Error {
  override readonly name = 'Misuse'
}
