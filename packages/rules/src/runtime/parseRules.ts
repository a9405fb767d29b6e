import { Err, Ok } from '@rattanstep/core'
import type { Finding, Result } from '@rattanstep/core'
import { isMap } from 'yaml'
import type { Document, Node, Pair, YAMLMap } from 'yaml'
import type { ResolvedClass, ResolvedLimits, ResolvedRoute, ResolvedRules } from '../types/rules.js'
import { checkRules } from './checkRules.js'
import type { ParsedRules } from './checkRules.js'
import { readDocument } from './readDocument.js'
import { offsetOf, readFields } from './readFields.js'
import { isEmptySection, readAskedBy, readRules } from './readRules.js'
import type { Rule } from './readRules.js'
import { readSections } from './readSections.js'
import type { Section } from './readSections.js'
import { CLASS_SCHEMA, LIMITS_SCHEMA, ROUTE_SCHEMA, TEAM_SCHEMA } from './schema.js'
import { Source } from './Source.js'

/** Names of the sections of a rules file. */
export const SECTION_NAMES = ['classes', 'routes', 'teams', 'limits'] as const

const MAX_CLASSES = 100
const MAX_ROUTES = 500
const MAX_TEAMS = 500

/** Methods that change nothing on the server, so that a request can always be repeated. */
const SAFE_METHODS = ['GET', 'HEAD', 'OPTIONS']

/**
 * Reads a rules file.
 *
 * @param text - contents of the rules file
 * @param options - `file`: file name that findings give
 * @returns the rules with every default filled in, or all findings, sorted by position
 */
export function parseRules (text: string, options: { file: string }): Result<ResolvedRules, Finding[]> {
  const source = new Source(text, options.file)
  const document = readDocument(source, { oneLine: true })
  if (document === null) return Err(source.sortedFindings())
  // After a syntax error the parser may misread the rest of the text, so only findings before the error are reliable.
  if (document.errors.length > 0) return Err(reportBeforeSyntaxError(source, document))
  const resolved = readSectionsAndRules(source, document, true)
  return source.findings.length === 0 ? Ok(resolved) : Err(source.sortedFindings())
}

/** Adds the findings of the rules above the first line with a YAML finding. */
function reportBeforeSyntaxError (source: Source, document: Document): Finding[] {
  const firstErrorLine = source.findings.reduce((line, finding) => Math.min(line, finding.place.line), Infinity)
  const partialSource = new Source(source.text, source.file)
  readSectionsAndRules(partialSource, document, false)
  for (const finding of partialSource.findings) {
    if (finding.place.line < firstErrorLine) source.findings.push(finding)
  }
  return source.sortedFindings()
}

function readSectionsAndRules (source: Source, document: Document, isComplete: boolean): ResolvedRules {
  const sections = readSections(source, document, SECTION_NAMES)
  const rules: ParsedRules = {
    classes: readRules(source, 'classes', sections.get('classes'), CLASS_SCHEMA, MAX_CLASSES),
    routes: readRules(source, 'routes', sections.get('routes'), ROUTE_SCHEMA, MAX_ROUTES),
    teams: readRules(source, 'teams', sections.get('teams'), TEAM_SCHEMA, MAX_TEAMS)
  }
  const limits = readLimits(source, sections.get('limits'))
  if (isComplete) {
    checkClassesPresent(source, document, sections)
    checkRules(source, rules)
  }
  return {
    classes: rules.classes.map(rule => resolve<ResolvedClass>(rule)),
    routes: rules.routes.map(rule => resolveRoute(rule)),
    teams: rules.teams.map(rule => resolve(rule)),
    limits
  }
}

function checkClassesPresent (source: Source, document: Document, sections: Map<string, Section>): void {
  const section = sections.get('classes')
  if (!isMap(document.contents) || (section !== undefined && !isEmptySection(section))) return
  source.report('missing-section', offsetOf(section?.key, document.contents), 'section classes is missing or empty; add it with at least one class')
}

function readLimits (source: Source, section: Section | undefined): ResolvedLimits {
  const emptyMap = { items: [] } as unknown as YAMLMap
  if (section === undefined || isEmptySection(section)) return readFields(source, emptyMap, LIMITS_SCHEMA).values as ResolvedLimits
  const { value } = section
  if (!isMap(value) || value.flow === true) {
    source.report('not-a-map', offsetOf(value, section.key), 'limits must be a map with one limit on each line: key: value # who asked for it')
    return readFields(source, emptyMap, LIMITS_SCHEMA).values as ResolvedLimits
  }
  for (const pair of value.items as Array<Pair<Node, Node | null>>) {
    const start = offsetOf(pair.key, value)
    readAskedBy(source, start, pair.value?.range?.[1] ?? pair.key.range?.[1] ?? start)
  }
  return readFields(source, value as YAMLMap, LIMITS_SCHEMA).values as ResolvedLimits
}

function resolve<T extends { askedBy: string, line: number }> (rule: Rule<Omit<T, 'askedBy' | 'line'>>): T {
  return { ...rule.values, askedBy: rule.askedBy, line: rule.line } as T
}

function resolveRoute (rule: Rule<Omit<ResolvedRoute, 'askedBy' | 'line'>>): ResolvedRoute {
  const route = resolve<ResolvedRoute>(rule)
  const isExplicit = 'idempotent' in rule.offsets
  return isExplicit ? route : { ...route, idempotent: SAFE_METHODS.includes(route.method) }
}
