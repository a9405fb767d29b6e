import { Err, Ok } from '@rattanstep/core'
import type { Finding, Result } from '@rattanstep/core'
import { isMap, isScalar, isSeq } from 'yaml'
import type { Node, Pair, YAMLMap } from 'yaml'
import { parseRules } from './parseRules.js'
import { readDocument } from './readDocument.js'
import { Source } from './Source.js'

/** A change of one value in one rule. */
export interface Edit {
  section: 'classes' | 'routes' | 'teams' | 'limits'
  /** Name of the class or team, or path of the route. Not used for limits. */
  rule?: string
  /** Key whose value is changed, or added if the rule does not set it. */
  key: string
  /** The new value as written in a rules file, such as `20%`. */
  value: string
  /** Comment that is written after a limit which the text does not set yet (default `operator`). */
  askedBy?: string
}

/**
 * Changes one value of one rule and leaves every other byte of the text as it is.
 *
 * @param text - text of the rules
 * @param edit - the change
 * @param options - `file`: file name that findings give
 * @returns the new text, or the findings of the text before or after the change
 */
export function editRule (text: string, edit: Edit, options: { file: string }): Result<string, Finding[]> {
  const parsed = parseRules(text, options)
  if (parsed.isErr()) return parsed
  const source = new Source(text, options.file)
  const map = findRule(source, edit)
  if (map === null) {
    source.report('no-rule', 0, `${edit.section} has no rule ${edit.rule ?? ''}; check the name`)
    return Err(source.findings)
  }
  const changed = replaceValue(text, map, edit)
  const reparsed = parseRules(changed, options)
  return reparsed.isErr() ? reparsed : Ok(changed)
}

function findRule (source: Source, edit: Edit): YAMLMap | null {
  const contents = readDocument(source)?.contents
  const section = isMap(contents) ? contents.get(edit.section) : null
  if (edit.section === 'limits') return isMap(section) ? section as YAMLMap : null
  if (!isSeq(section)) return null
  const key = edit.section === 'routes' ? 'path' : 'name'
  return (section.items as YAMLMap[]).find(item => item.get(key) === edit.rule) ?? null
}

function replaceValue (text: string, map: YAMLMap, edit: Edit): string {
  const pairs = map.items as Array<Pair<Node, Node>>
  const valueRange = pairs.find(({ key }) => isScalar(key) && key.value === edit.key)?.value?.range
  if (valueRange != null) return replaceRange(text, valueRange[0], valueRange[1], edit.value)
  const lastValueEnd = pairs.at(-1)?.value?.range?.[1] ?? 0
  if (map.flow === true) return replaceRange(text, lastValueEnd, lastValueEnd, `, ${edit.key}: ${edit.value}`)
  // Limits are in block style, one on a line: add a line after the last limit, with the same indentation.
  const lineEnd = text.indexOf('\n', lastValueEnd)
  const newLineOffset = lineEnd === -1 ? text.length : lineEnd
  const column = new Source(text, '').locate(map.range![0]).column
  return replaceRange(text, newLineOffset, newLineOffset, `\n${' '.repeat(column - 1)}${edit.key}: ${edit.value} # ${edit.askedBy ?? 'operator'}`)
}

function replaceRange (text: string, start: number, end: number, value: string): string {
  return text.slice(0, start) + value + text.slice(end)
}
