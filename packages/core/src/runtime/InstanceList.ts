import type { Instance } from '../types/instance.js'
import type { Result } from '../types/result.js'
import type { TableError } from './Table.js'

/** The platform's list of live and leaving instances. It lags behind the truth. */
export abstract class InstanceList {
  /** @returns every instance that the platform knows now; one that is gone is missing */
  abstract list (): Promise<Result<Instance[], TableError>>
}
