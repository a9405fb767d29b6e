import type { Result } from '../types/result.js'
import type { TableError } from './Table.js'

/** The platform's store of large values, such as task checkpoints. */
export abstract class ObjectStore {
  /**
   * @param name - name of the object
   * @returns its content, or `null` when it does not exist
   */
  abstract get (name: string): Promise<Result<Uint8Array | null, TableError>>

  /**
   * Writes an object and replaces its previous content.
   *
   * @param name - name of the object
   * @param bytes - its new content
   */
  abstract put (name: string, bytes: Uint8Array): Promise<Result<void, TableError>>
}
