import type { SeededRandom } from '@rattanstep/core'
import { textOf } from './Model.js'
import type { Model, ModelState } from './Model.js'

export interface Exploration {
  states: number
  steps: number
  depth: number
  /** Whether every reachable state within the budget was seen. */
  isComplete: boolean
  violation: string | null
  trace: string[]
}

interface Visit { state: ModelState, name: string, parent: Visit | null, depth: number }

/** Breadth-first search over all interleavings within the budget of the model. */
export function explore (model: Model, limit = 1_000_000): Exploration {
  const intern = new Map<unknown, number>()
  const seen = new Set<string>()
  const queue: Visit[] = []
  let steps = 0
  const visit = (state: ModelState, name: string, parent: Visit | null): Visit | null => {
    const key = keyOf(state, intern)
    if (seen.has(key)) return null
    seen.add(key)
    const entry = { state, name, parent, depth: (parent?.depth ?? -1) + 1 }
    queue.push(entry)
    return entry
  }
  visit(model.first(), 'start', null)
  for (let position = 0; position < queue.length; position++) {
    const current = queue[position]!
    const violation = model.violation(current.state)
    const done = { states: seen.size, steps, depth: current.depth }
    if (violation !== null) return { ...done, isComplete: false, violation, trace: traceOf(current) }
    if (seen.size > limit) return { ...done, isComplete: false, violation: null, trace: [] }
    for (const step of model.steps(current.state)) {
      steps++
      visit(step.state, step.name, current)
    }
    current.state = FREED
  }
  return { states: seen.size, steps, depth: queue.at(-1)!.depth, isComplete: true, violation: null, trace: [] }
}

/** Random walks through the same steps, for budgets that are too large to exhaust. */
export function walk (model: Model, random: SeededRandom, walks: number): { steps: number, violation: string | null, trace: string[] } {
  let steps = 0
  for (let count = 0; count < walks; count++) {
    const trace: string[] = []
    let state = model.first()
    for (;;) {
      const choices = model.steps(state)
      if (choices.length === 0) break
      const { name, state: next } = random.pick(choices)
      trace.push(name)
      state = next
      steps++
      const violation = model.violation(state)
      if (violation !== null) return { steps, violation, trace }
      if (trace.length > LONGEST_WALK) break
    }
  }
  return { steps, violation: null, trace: [] }
}

const LONGEST_WALK = 120

const FREED = {} as ModelState

function traceOf (visit: Visit): string[] {
  const names: string[] = []
  for (let at: Visit | null = visit; at !== null; at = at.parent) names.unshift(at.name)
  return names
}

function keyOf (state: ModelState, intern: Map<unknown, number>): string {
  const short = (part: object): number => {
    const text = textOf(part)
    const known = intern.get(text)
    if (known !== undefined) return known
    intern.set(text, intern.size)
    return intern.size - 1
  }
  const { budget } = state
  const parts = [
    state.time,
    ...state.history.map(short),
    '|', ...state.nodes.map(short),
    '|', ...state.messages.map(short),
    '|', ...state.votes,
    '|', ...state.said,
    '|', ...state.writes.map(short).sort(),
    '|', budget.beats, budget.restarts, budget.crashes, budget.writes, budget.releases
  ]
  return parts.join(' ')
}
