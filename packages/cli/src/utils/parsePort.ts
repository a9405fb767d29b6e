import { CommandLineError } from '../types/CommandLineError.js'

const MAX_PORT = 65_535

/**
 * @param option - name of the option, for the error message
 * @param text - value of the option
 * @returns the port
 * @throws CommandLineError if the value is not a port number
 */
export function parsePort (option: string, text: string): number {
  const port = /^\d{1,5}$/.test(text) ? Number(text) : MAX_PORT + 1
  if (port <= MAX_PORT) return port
  throw new CommandLineError(`${option} ${JSON.stringify(text)} was given, expected a port from 0 to ${MAX_PORT}; 0 lets the system choose`)
}
