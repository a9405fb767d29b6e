import { isMap, isScalar } from 'yaml'
import type { Document, Node, Pair, YAMLMap } from 'yaml'
import { formatSuggestion, quote } from '../utils/message.js'
import { offsetOf } from './readFields.js'
import type { Source } from './Source.js'

/** A section of the rules with its value. */
export interface Section {
  key: Node
  value: Node | null
}

/**
 * Reads the top level of a document.
 *
 * @param source - the text
 * @param document - the document
 * @param sectionNames - names of the sections
 * @returns the sections that were given
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
      source.report('unknown-key', offset, `${quote(name)} is no section${formatSuggestion(name, sectionNames)}; allowed are ${sectionNames.join(', ')}`)
    } else if (sections.has(name)) {
      source.report('duplicate-key', offset, `section ${name} is given twice; join the two`)
    } else {
      sections.set(name, { key: pair.key, value: pair.value })
    }
  }
  return sections
}
