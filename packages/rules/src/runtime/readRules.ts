import { isMap, isSeq } from 'yaml'
import type { Node, YAMLMap } from 'yaml'
import type { Schema } from '../types/Field.js'
import { MANY_LINES_MESSAGE } from './readDocument.js'
import { offsetOf, readFields } from './readFields.js'
import type { Section } from './readSections.js'
import type { Source } from './Source.js'

/** One rule with its comment and its position in the text. */
export interface Rule<T> {
  values: Partial<T>
  offsets: Partial<Record<keyof T, number>>
  /** Whether the rule had no findings, so that every value is set. */
  isComplete: boolean
  /** The comment after the rule, which says who asked for it; empty if it is missing. */
  askedBy: string
  /** Line of the rule in the text, from 1. */
  line: number
  /** Offset of the rule in the text, from 0. */
  offset: number
}

/**
 * Reads a section that is a list of one-line maps.
 *
 * @param source - the text, which receives the findings
 * @param name - name of the section
 * @param section - the section, or `undefined` if the text does not have it
 * @param schema - keys of a rule
 * @param maxRules - largest number of rules in the section
 * @returns the rules of the section; empty if it is missing, malformed or too long
 */
export function readRules<T extends object> (source: Source, name: string, section: Section | undefined, schema: Schema<T>, maxRules: number): Array<Rule<T>> {
  if (section === undefined || isEmptySection(section)) return []
  const { value } = section
  if (!isSeq(value) || value.flow === true) {
    source.report('not-a-list', offsetOf(value, section.key), `${name} must be a list with one rule on each line: - { … } # who asked for it`)
    return []
  }
  if (value.items.length > maxRules) {
    source.report('too-many', offsetOf(value), `${name} holds ${value.items.length} rules, at most ${maxRules} are allowed; combine rules where possible`)
    return []
  }
  const rules: Array<Rule<T>> = []
  for (const item of value.items as Array<Node | null>) {
    const rule = readRule(source, name, item, value, schema)
    if (rule !== null) rules.push(rule)
  }
  return rules
}

/**
 * Reads the comment of a rule. Reports a finding if the rule spans several lines or has no comment.
 *
 * @param source - the text, which receives the findings
 * @param start - offset at which the rule starts
 * @param end - offset at which its value ends
 * @returns the comment, which says who asked for the rule; empty after a finding
 */
export function readAskedBy (source: Source, start: number, end: number): string {
  if (source.lineOf(start) !== source.lineOf(Math.max(start, end - 1))) {
    source.report('many-lines', start, MANY_LINES_MESSAGE)
    return ''
  }
  const askedBy = source.commentAfter(end)
  if (askedBy === '') source.report('no-asker', start, 'the rule has no comment that says who asked for it; add "# name, reason" at the end of its line')
  return askedBy
}

/**
 * @param section - a section of the rules
 * @returns whether the section has no value or is an empty list
 */
export function isEmptySection ({ value }: Section): boolean {
  return value === null || value.range?.[0] === value.range?.[1] || (isSeq(value) && value.items.length === 0)
}

function readRule<T extends object> (source: Source, name: string, item: Node | null, list: Node, schema: Schema<T>): Rule<T> | null {
  const offset = offsetOf(item, list)
  if (!isMap(item) || item.flow !== true) {
    source.report('not-a-map', offset, `each line of ${name} must be a map in braces: - { … } # who asked for it`)
    return null
  }
  const askedBy = readAskedBy(source, offset, item.range?.[1] ?? offset)
  const fields = readFields(source, item as YAMLMap, schema)
  return { ...fields, askedBy, line: source.lineOf(offset), offset }
}
