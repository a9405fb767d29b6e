import { isMap, isScalar } from 'yaml'
import type { Document, Node, Pair, YAMLMap } from 'yaml'
import { formatSuggestion, quote } from '../utils/message.js'
import { offsetOf } from './readFields.js'
import type { Source } from './Source.js'

/** A section of a rules file: its key and its value. */
export interface Section {
  key: Node
  value: Node | null
}

/**
 * Reads the sections at the top level of a rules file.
 *
 * @param source - the text, which receives the findings
 * @param document - the parsed text
 * @param sectionNames - names of the allowed sections
 * @returns the sections of the document, by name
 */
export function readSections (source: Source, document: Document, sectionNames: readonly string[]): Map<string, Section> {
  const sections = new Map<string, Section>()
  const { contents } = document
  if (contents === null || !isMap(contents)) {
    source.report('not-a-map', offsetOf(contents as Node | null), `expected the sections ${sectionNames.join(', ')}`)
    return sections
  }
  for (const pair of (contents as YAMLMap).items as Array<Pair<Node, Node | null>>) {
    const name = isScalar(pair.key) ? String(pair.key.value) : ''
    const offset = offsetOf(pair.key, contents)
    if (!sectionNames.includes(name)) {
      source.report('unknown-key', offset, `${quote(name)} is not a known section${formatSuggestion(name, sectionNames)}; allowed are ${sectionNames.join(', ')}`)
    } else if (sections.has(name)) {
      source.report('duplicate-key', offset, `section ${name} is given twice; merge the two`)
    } else {
      sections.set(name, { key: pair.key, value: pair.value })
    }
  }
  return sections
}
