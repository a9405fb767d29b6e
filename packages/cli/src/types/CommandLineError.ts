/** Thrown if the command line is wrong: an invalid option, or a file that cannot be read. */
export class CommandLineError extends Error {
  override readonly name = 'CommandLineError'
}
