export { runProgram } from './cli/runProgram.js'
export { ControlClient } from './node/ControlClient.js'
export type { ControlClientOptions } from './node/ControlClient.js'
export type { ControlError, ControlFault, RulesText } from './types/control.js'
