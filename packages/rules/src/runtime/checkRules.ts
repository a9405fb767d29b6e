import type { ResolvedClass, ResolvedRoute, ResolvedTeam } from '../types/rules.js'
import { quote, suggestion } from '../utils/message.js'
import { coversPattern, splitPattern } from './pathPattern.js'
import type { Rule } from './readRules.js'
import type { Source } from './Source.js'

/** Rounding that sums of percentages are allowed. */
const ROUNDING = 1e-9

/** Most steps spent on comparing routes with each other; far more than routes of real use need. */
const SHADOW_BUDGET = 20_000

/** Rules as read, some perhaps with findings. */
export interface ReadRules {
  classes: Array<Rule<Omit<ResolvedClass, 'askedBy' | 'line'>>>
  routes: Array<Rule<Omit<ResolvedRoute, 'askedBy' | 'line'>>>
  teams: Array<Rule<Omit<ResolvedTeam, 'askedBy' | 'line'>>>
}

/**
 * Checks rules against each other. Faults become findings of the source.
 *
 * @param source - the text
 * @param rules - the rules as read
 */
export function checkRules (source: Source, rules: ReadRules): void {
  checkNames(source, 'class', rules.classes)
  checkNames(source, 'team', rules.teams)
  checkReserves(source, rules)
  checkClasses(source, rules)
  checkRoutes(source, rules)
  checkShadows(source, rules)
  checkReach(source, rules)
}

function checkNames (source: Source, what: string, rules: Array<Rule<{ name: string }>>): void {
  const lines = new Map<string, number>()
  for (const { values, offsets, offset, line } of rules) {
    if (values.name === undefined) continue
    const first = lines.get(values.name)
    if (first === undefined) lines.set(values.name, line)
    else source.report('duplicate-name', offsets.name ?? offset, `${what} ${values.name} stands on line ${first} already; rename or remove one of them`)
  }
}

function checkReserves (source: Source, { classes }: ReadRules): void {
  let sum = 0
  for (const { values, offsets, offset } of classes) {
    const before = sum
    sum += values.reserve ?? 0
    if (sum <= 1 + ROUNDING || before > 1 + ROUNDING) continue
    source.report('reserve-sum', offsets.reserve ?? offset, `the reserves up to here sum to ${percent(sum)}, at most 100% can be kept; lower some of them`)
  }
}

function checkClasses (source: Source, { classes }: ReadRules): void {
  for (const { values, offsets, offset } of classes) {
    const { reserve, most, expected, bound } = values
    if (reserve !== undefined && most !== undefined && most < reserve) {
      source.report('most-below-reserve', offsets.most ?? offset, `most is ${percent(most)}, below the reserve of ${percent(reserve)}; raise most or lower reserve`)
    }
    if (expected !== undefined && bound !== undefined && expected > bound) {
      source.report('expected-over-bound', offsets.expected ?? offsets.bound ?? offset, `expected is ${expected} ms, above the bound of ${bound} ms after which runs are cut off; raise bound or lower expected`)
    }
  }
}

function checkRoutes (source: Source, { classes, routes }: ReadRules): void {
  const kinds = new Map(classes.map(({ values }) => [values.name ?? '', values.kind]))
  const names = [...kinds.keys()]
  for (const { values, offsets, offset } of routes) {
    const name = values.class
    if (name === undefined) continue
    const place = offsets.class ?? offset
    if (!kinds.has(name)) {
      source.report('unknown-class', place, `${quote(name)} is no class of this text${suggestion(name, names)}; name a class or add it`)
    } else if (kinds.get(name) !== undefined && kinds.get(name) !== 'request') {
      source.report('wrong-kind', place, `class ${name} is of kind ${kinds.get(name)}, which jobs reach; routes lead to classes of kind request`)
    }
  }
}

function checkShadows (source: Source, { routes }: ReadRules): void {
  const split = routes.map(({ values, offset, line }) => ({
    offset,
    line,
    path: values.path ?? '',
    method: values.method,
    pattern: values.path === undefined ? undefined : splitPattern(values.path)
  }))
  const budget = { left: SHADOW_BUDGET }
  split.forEach((later, index) => {
    const { pattern, method } = later
    if (pattern === undefined || method === undefined) return
    const earlier = split.slice(0, index).find(other =>
      other.pattern !== undefined && (other.method === '*' || other.method === method) && coversPattern(other.pattern, pattern, budget))
    if (earlier === undefined) return
    source.report('shadowed', later.offset, `${method} ${later.path} can never match, as ${earlier.method} ${earlier.path} on line ${earlier.line} comes first; move it up or remove it`)
  })
}

function checkReach (source: Source, { classes, routes }: ReadRules): void {
  const reached = new Set(routes.map(({ values }) => values.class))
  // A route whose class could not be read may lead anywhere.
  if (reached.has(undefined)) return
  for (const { values, offsets, offset } of classes) {
    if (values.kind !== 'request' || values.name === undefined || reached.has(values.name)) continue
    source.report('unreached', offsets.name ?? offset, `no route leads to class ${values.name}; add a route or remove the class`)
  }
}

function percent (part: number): string {
  return `${Number((part * 100).toFixed(6))}%`
}
