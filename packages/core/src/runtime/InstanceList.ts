import type { Instance } from '../types/instance.js'
import type { Result } from '../types/result.js'
import type { TableError } from './Table.js'

/** The platform's list of live and leaving instances. It lags behind their real state. */
export abstract class InstanceList {
  /** @returns all instances that the platform currently lists; instances that no longer exist are missing */
  abstract list (): Promise<Result<Instance[], TableError>>
}
