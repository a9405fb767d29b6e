import type { Address } from '@rattanstep/core'
import { isScalar, isSeq } from 'yaml'
import type { Node } from 'yaml'
import type { Field, FindingReporter } from '../types/Field.js'
import { formatSuggestion, quote } from '../utils/message.js'
import { parseAddress } from '../utils/parseAddress.js'
import { BYTES_PER_MIB, parseDecimal, parseDuration, parsePercentage, parseSize } from '../utils/units.js'

/**
 * Constructors for the fields of rules, settings and job files.
 */

/** Documentation of a field and its default. */
export interface FieldDescription {
  meaning: string
  example: string
  /** Default value as written in a file. A field without a default is required. */
  defaultText?: string
}

/** Smallest and largest value of a numeric field, as written in a file. */
export interface NumericBounds {
  minimum: string
  maximum: string
}

type Parse<T> = (text: string) => T | null

/**
 * @param options - description, and bounds such as `2s`
 * @returns a field whose value is in milliseconds
 */
export function duration (options: FieldDescription & NumericBounds): Field<number> {
  return quantity('duration', 'a number with ms, s, m or h, such as 250ms', parseDuration, options)
}

/**
 * @param options - description, and bounds such as `10%`
 * @returns a field whose value is a fraction, where 100% is 1
 */
export function percentage (options: FieldDescription & NumericBounds): Field<number> {
  return quantity('percentage', 'a number with %, such as 10%', parsePercentage, options)
}

/**
 * @param options - description, and bounds such as `8KiB`
 * @returns a field whose value is in bytes
 */
export function size (options: FieldDescription & NumericBounds): Field<number> {
  return quantity('size', 'a number with B, KiB, MiB or GiB, such as 64MiB', parseSize, options)
}

/**
 * @param options - description, and bounds such as `64MiB`
 * @returns a field whose value is in MiB
 */
export function memory (options: FieldDescription & NumericBounds): Field<number> {
  const parse: Parse<number> = text => {
    const bytes = parseSize(text)
    return bytes === null ? null : bytes / BYTES_PER_MIB
  }
  return quantity('size', 'a number with B, KiB, MiB or GiB, such as 64MiB', parse, options)
}

/**
 * @param options - description and bounds
 * @returns a field that holds a whole number
 */
export function integer (options: FieldDescription & NumericBounds): Field<number> {
  const parse: Parse<number> = text => /^\d{1,15}$/.test(text) ? Number(text) : null
  return quantity('whole number', 'a whole number without a unit', parse, options)
}

/**
 * @param options - description and bounds
 * @returns a field that holds a number, which may have a fraction
 */
export function decimal (options: FieldDescription & NumericBounds): Field<number> {
  return quantity('number', 'a number without a unit', parseDecimal, options)
}

/**
 * @param options - description
 * @returns a field that holds true or false
 */
export function flag (options: FieldDescription): Field<boolean> {
  const parse: Parse<boolean> = text => text === 'true' ? true : text === 'false' ? false : null
  return scalar({ unit: 'true or false', expected: 'true or false', bounds: '`true`, `false`', parse, description: options })
}

/**
 * @param choices - allowed words
 * @param options - description
 * @returns a field that holds one of the words
 */
export function oneOf<T extends string> (choices: readonly T[], options: FieldDescription): Field<T> {
  const parse: Parse<T> = text => choices.find(word => word === text) ?? null
  return scalar({
    unit: 'word',
    expected: `one of ${choices.join(', ')}`,
    bounds: choices.map(word => `\`${word}\``).join(', '),
    parse,
    description: options,
    hint: text => formatSuggestion(text, choices)
  })
}

/**
 * @param pattern - what the text must match
 * @param expected - description of the pattern for messages and the reference
 * @param options - description
 * @returns a field that holds text
 */
export function text (pattern: RegExp, expected: string, options: FieldDescription): Field<string> {
  const parse: Parse<string> = given => pattern.test(given) ? given : null
  return scalar({ unit: 'text', expected, bounds: expected, parse, description: options })
}

/**
 * @param options - description; `anyPort` allows port 0, which lets the system choose
 * @returns a field that holds an IP address and a port
 */
export function address (options: FieldDescription & { anyPort?: boolean }): Field<Address> {
  const minPort = options.anyPort === true ? 0 : 1
  return scalar({
    unit: 'address',
    expected: `an IP address and a port from ${minPort} to 65535, such as 127.0.0.1:7070 or "[::1]:7070"`,
    bounds: `port ${minPort} to 65535`,
    parse: given => parseAddress(given, minPort),
    description: options
  })
}

/**
 * @param options - description
 * @returns a field that holds a list of addresses
 */
export function addresses (options: FieldDescription): Field<Address[]> {
  const item = address({ meaning: '', example: '' })
  return {
    unit: 'list of addresses',
    defaultValue: [],
    defaultText: '[]',
    bounds: item.bounds,
    example: options.example,
    meaning: options.meaning,
    read: (key, node, report) => {
      if (!isSeq(node)) {
        report('wrong-value', `${key}: the value is not a list, expected a list of addresses; write ${key}: ${options.example}`, node)
        return undefined
      }
      const items = node.items.map(entry => item.read(key, entry as Node, report))
      return items.includes(undefined) ? undefined : items as Address[]
    }
  }
}

interface ScalarOptions<T> {
  unit: string
  expected: string
  bounds: string
  parse: Parse<T>
  description: FieldDescription
  code?: string
  hint?: (text: string) => string
  check?: (value: T) => string | null
}

function quantity (unit: string, expected: string, parse: Parse<number>, options: FieldDescription & NumericBounds): Field<number> {
  const minimum = parse(options.minimum)
  const maximum = parse(options.maximum)
  if (minimum === null || maximum === null) throw new Error(`bounds of ${options.meaning} are not ${expected}`)
  return scalar({
    unit,
    expected,
    bounds: `${options.minimum} to ${options.maximum}`,
    parse,
    description: options,
    code: 'wrong-unit',
    check: value => value < minimum || value > maximum ? `expected ${options.minimum} to ${options.maximum}` : null
  })
}

function scalar<T> (options: ScalarOptions<T>): Field<T> {
  const { unit, bounds, expected, parse, description } = options
  const defaultValue = description.defaultText === undefined ? undefined : parse(description.defaultText)
  if (defaultValue === null) throw new Error(`default of ${description.meaning} is not ${expected}`)
  return {
    unit,
    bounds,
    defaultValue,
    defaultText: description.defaultText ?? '',
    example: description.example,
    meaning: description.meaning,
    read: (key, node, report) => readScalar(key, node, report, options)
  }
}

function readScalar<T> (key: string, node: Node, report: FindingReporter, options: ScalarOptions<T>): T | undefined {
  if (!isScalar(node) || typeof node.value !== 'string') {
    report('wrong-value', `${key}: a list or map was given, expected ${options.expected}`, node)
    return undefined
  }
  const given = node.value
  const value = options.parse(given)
  if (value === null) {
    const hint = options.hint?.(given) ?? ''
    report(options.code ?? 'wrong-value', `${key}: ${quote(given)} was given, expected ${options.expected}${hint}`, node)
    return undefined
  }
  const problem = options.check?.(value) ?? null
  if (problem !== null) {
    report('out-of-bounds', `${key}: ${quote(given)} was given, ${problem}`, node)
    return undefined
  }
  return value
}
