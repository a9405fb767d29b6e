import { isScalar } from 'yaml'
import type { Node, Pair, YAMLMap } from 'yaml'
import type { Schema } from '../types/Field.js'
import { formatSuggestion, quote } from '../utils/message.js'
import type { Source } from './Source.js'

/** Values read from a map. A value that had a finding is missing. */
export interface FieldValues<T> {
  values: Partial<T>
  /** Offset in the text of the value of each key that was given. */
  offsets: Partial<Record<keyof T, number>>
  /** Whether the map had no findings. */
  isComplete: boolean
}

/**
 * Reads the keys of a map by its schema, fills in defaults and reports every problem as a finding of the source.
 *
 * @param source - the text, which receives the findings
 * @param map - the map
 * @param schema - keys that are allowed
 * @param optional - keys that may be absent although the schema has no default for them
 * @returns the values, their offsets, and whether the map had no findings
 */
export function readFields<T extends object> (source: Source, map: YAMLMap, schema: Schema<T>, optional: ReadonlyArray<keyof T> = []): FieldValues<T> {
  const result: FieldValues<T> = { values: {}, offsets: {}, isComplete: true }
  const report = (code: string, message: string, node: Node): void => {
    result.isComplete = false
    source.report(code, offsetOf(node, map), message)
  }
  for (const pair of map.items) readPair(pair as Pair<Node, Node | null>, map, schema, result, report)
  for (const key of Object.keys(schema) as Array<keyof T & string>) {
    if (key in result.offsets) continue
    const field = schema[key]
    if (field.defaultValue !== undefined) result.values[key] = field.defaultValue
    else if (!optional.includes(key)) report('missing-key', `${key} is missing, expected ${field.bounds}; add ${key}: ${field.example}`, map)
  }
  return result
}

/**
 * @param node - a node of the document
 * @param parent - node whose offset is used if the first has none
 * @returns offset in the text, from 0; 0 if neither node has one
 */
export function offsetOf (node: Node | null | undefined, parent?: Node): number {
  return node?.range?.[0] ?? parent?.range?.[0] ?? 0
}

/** Whether nothing was written as the value. An empty string in quotes counts as a value. */
function isEmptyPlainScalar (node: Node): boolean {
  return isScalar(node) && node.value === '' && node.type === 'PLAIN'
}

function readPair<T extends object> (
  pair: Pair<Node, Node | null>,
  map: YAMLMap,
  schema: Schema<T>,
  result: FieldValues<T>,
  report: (code: string, message: string, node: Node) => void
): void {
  const keyNode = pair.key ?? map
  const key = isScalar(keyNode) ? String(keyNode.value) : ''
  const knownKeys = Object.keys(schema)
  if (!knownKeys.includes(key)) {
    report('unknown-key', `${quote(key)} is not a known key${formatSuggestion(key, knownKeys)}; allowed are ${knownKeys.join(', ')}`, keyNode)
    return
  }
  const name = key as keyof T & string
  if (name in result.offsets) {
    report('duplicate-key', `${key} is given twice; remove one of them`, keyNode)
    return
  }
  result.offsets[name] = offsetOf(pair.value, keyNode)
  const field = schema[name]
  if (pair.value === null || isEmptyPlainScalar(pair.value)) {
    report('wrong-value', `${key} has no value, expected ${field.bounds}; write ${key}: ${field.example}`, keyNode)
    return
  }
  const value = field.read(key, pair.value, report)
  if (value !== undefined) result.values[name] = value
}
