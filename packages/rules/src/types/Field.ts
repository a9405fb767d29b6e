import type { Node } from 'yaml'

/**
 * Tells about a fault in a value.
 *
 * @param code - code of the finding
 * @param message - what was given, what is expected and what to do
 * @param node - where the fault is
 */
export type FindingReporter = (code: string, message: string, node: Node) => void

/** One key that the operators' text may hold, with everything that the reference says about it. */
export interface Field<T> {
  /** Unit or form, as the reference names it. */
  unit: string
  /** Value when the key is absent; `undefined` when the key is required. */
  defaultValue: T | undefined
  /** The default as written in the text; empty when the key is required. */
  defaultText: string
  /** Least and greatest value as written in the text, or the allowed words. */
  bounds: string
  /** A value that passes. */
  example: string
  /** What the key does, in one sentence. */
  meaning: string
  /**
   * Reads a value.
   *
   * @param key - name of the key, for messages
   * @param node - the value in the document
   * @param report - called for each fault
   * @returns the value, or `undefined` after a fault was reported
   */
  read: (key: string, node: Node, report: FindingReporter) => T | undefined
}

/** Fields of one kind of map. */
export type Schema<T> = { readonly [K in keyof T]-?: Field<T[K]> }
