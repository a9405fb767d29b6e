import type { Node } from 'yaml'

/**
 * Reports a problem with a value as a finding.
 *
 * @param code - stable identifier of the kind of finding
 * @param message - what was given, what is expected and what to do
 * @param node - node of the document that the finding points to
 */
export type FindingReporter = (code: string, message: string, node: Node) => void

/** One key of a rules, settings or job file, with everything that the reference documents about it. */
export interface Field<T> {
  /** Unit or format, as shown in the reference. */
  unit: string
  /** Value if the key is absent; `undefined` if the key is required. */
  defaultValue: T | undefined
  /** The default as written in a file; empty if the key is required. */
  defaultText: string
  /** Smallest and largest value as written in a file, or the allowed words. */
  bounds: string
  /** A valid value. */
  example: string
  /** What the key does. */
  meaning: string
  /**
   * Reads a value.
   *
   * @param key - name of the key, for messages
   * @param node - the value in the document
   * @param report - called for each problem
   * @returns the value, or `undefined` if a problem was reported
   */
  read: (key: string, node: Node, report: FindingReporter) => T | undefined
}

/** Fields of a map in a file, by key. */
export type Schema<T> = { readonly [K in keyof T]-?: Field<T[K]> }
