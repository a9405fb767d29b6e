import type { ResolvedClass, ResolvedRoute, ResolvedTeam } from '../types/rules.js'
import { formatSuggestion, quote } from '../utils/message.js'
import { coversPattern, splitPattern } from './pathPattern.js'
import type { Rule } from './readRules.js'
import type { Source } from './Source.js'

/** Tolerance for floating-point rounding in sums of percentages. */
const ROUNDING_TOLERANCE = 1e-9

/** Limits the time spent comparing routes with each other. Route lists in real use stay far below it. */
const MAX_COMPARISON_STEPS = 20_000

/** Parsed rules before they are checked against each other. Values that had a finding are missing. */
export interface ParsedRules {
  classes: Array<Rule<Omit<ResolvedClass, 'askedBy' | 'line'>>>
  routes: Array<Rule<Omit<ResolvedRoute, 'askedBy' | 'line'>>>
  teams: Array<Rule<Omit<ResolvedTeam, 'askedBy' | 'line'>>>
}

/**
 * Checks rules against each other and reports every problem as a finding of the source.
 *
 * @param source - text of the rules, which receives the findings
 * @param rules - the parsed rules
 */
export function checkRules (source: Source, rules: ParsedRules): void {
  checkUniqueNames(source, 'class', rules.classes)
  checkUniqueNames(source, 'team', rules.teams)
  checkReserveSum(source, rules)
  checkClasses(source, rules)
  checkRoutes(source, rules)
  checkShadowedRoutes(source, rules)
  checkReachability(source, rules)
}

function checkUniqueNames (source: Source, ruleType: string, rules: Array<Rule<{ name: string }>>): void {
  const lines = new Map<string, number>()
  for (const { values, offsets, offset, line } of rules) {
    if (values.name === undefined) continue
    const firstLine = lines.get(values.name)
    if (firstLine === undefined) lines.set(values.name, line)
    else source.report('duplicate-name', offsets.name ?? offset, `${ruleType} ${values.name} is already defined on line ${firstLine}; rename or remove one of them`)
  }
}

function checkReserveSum (source: Source, { classes }: ParsedRules): void {
  let sum = 0
  for (const { values, offsets, offset } of classes) {
    const previousSum = sum
    sum += values.reserve ?? 0
    if (sum <= 1 + ROUNDING_TOLERANCE || previousSum > 1 + ROUNDING_TOLERANCE) continue
    source.report('reserve-sum', offsets.reserve ?? offset, `the reserves up to this rule add up to ${formatPercentage(sum)}, more than 100%; lower some of them`)
  }
}

function checkClasses (source: Source, { classes }: ParsedRules): void {
  for (const { values, offsets, offset } of classes) {
    const { reserve, most, expected, bound } = values
    if (reserve !== undefined && most !== undefined && most < reserve) {
      source.report('most-below-reserve', offsets.most ?? offset, `most is ${formatPercentage(most)}, below the reserve of ${formatPercentage(reserve)}; raise most or lower reserve`)
    }
    if (expected !== undefined && bound !== undefined && expected > bound) {
      source.report('expected-over-bound', offsets.expected ?? offsets.bound ?? offset, `expected is ${expected} ms, above the bound of ${bound} ms after which runs are cut off; raise bound or lower expected`)
    }
  }
}

function checkRoutes (source: Source, { classes, routes }: ParsedRules): void {
  const kindsByClass = new Map(classes.map(({ values }) => [values.name ?? '', values.kind]))
  const names = [...kindsByClass.keys()]
  for (const { values, offsets, offset } of routes) {
    const name = values.class
    if (name === undefined) continue
    const classOffset = offsets.class ?? offset
    if (!kindsByClass.has(name)) {
      source.report('unknown-class', classOffset, `${quote(name)} is not a class in this file${formatSuggestion(name, names)}; name a class or add it`)
    } else if (kindsByClass.get(name) !== undefined && kindsByClass.get(name) !== 'request') {
      source.report('wrong-kind', classOffset, `class ${name} is of kind ${kindsByClass.get(name)}, which takes work from jobs only; route to a class of kind request`)
    }
  }
}

function checkShadowedRoutes (source: Source, { routes }: ParsedRules): void {
  const routePatterns = routes.map(({ values, offset, line }) => ({
    offset,
    line,
    path: values.path ?? '',
    method: values.method,
    pattern: values.path === undefined ? undefined : splitPattern(values.path)
  }))
  const budget = { remainingSteps: MAX_COMPARISON_STEPS }
  routePatterns.forEach((later, index) => {
    const { pattern, method } = later
    if (pattern === undefined || method === undefined) return
    const earlier = routePatterns.slice(0, index).find(other =>
      other.pattern !== undefined && (other.method === '*' || other.method === method) && coversPattern(other.pattern, pattern, budget))
    if (earlier === undefined) return
    source.report('shadowed', later.offset, `${method} ${later.path} can never match, because ${earlier.method} ${earlier.path} on line ${earlier.line} matches the same requests first; move it up or remove it`)
  })
}

function checkReachability (source: Source, { classes, routes }: ParsedRules): void {
  const reachableClasses = new Set(routes.map(({ values }) => values.class))
  // The class of some route could not be read, and any class could be the one it names.
  if (reachableClasses.has(undefined)) return
  for (const { values, offsets, offset } of classes) {
    if (values.kind !== 'request' || values.name === undefined || reachableClasses.has(values.name)) continue
    source.report('unreached', offsets.name ?? offset, `no route leads to class ${values.name}; add a route or remove the class`)
  }
}

function formatPercentage (part: number): string {
  return `${Number((part * 100).toFixed(6))}%`
}
