import type { SeededRandom } from '@rattanstep/core'
import { textOf } from './Model.js'
import type { Model, ModelState } from './Model.js'

export interface Exploration {
  states: number
  steps: number
  depth: number
  /** Whether every reachable state within the budget was visited. */
  isComplete: boolean
  violation: string | null
  trace: string[]
}

interface Visit { state: ModelState, name: string, parent: Visit | null, depth: number }

/** Searches all interleavings within the budget of the model, breadth first. */
export function explore (model: Model, limit = 1_000_000): Exploration {
  const ids = new Map<unknown, number>()
  const seen = new Set<string>()
  const queue: Visit[] = []
  let steps = 0
  const visit = (state: ModelState, name: string, parent: Visit | null): Visit | null => {
    const key = keyOf(state, ids)
    if (seen.has(key)) return null
    seen.add(key)
    const entry = { state, name, parent, depth: (parent?.depth ?? -1) + 1 }
    queue.push(entry)
    return entry
  }
  visit(model.initialState(), 'start', null)
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
    current.state = RELEASED_STATE
  }
  return { states: seen.size, steps, depth: queue.at(-1)!.depth, isComplete: true, violation: null, trace: [] }
}

/** Takes random walks through the same steps, for budgets too large to search completely. */
export function walk (model: Model, random: SeededRandom, walks: number): { steps: number, violation: string | null, trace: string[] } {
  let steps = 0
  for (let count = 0; count < walks; count++) {
    const trace: string[] = []
    let state = model.initialState()
    for (;;) {
      const choices = model.steps(state)
      if (choices.length === 0) break
      const { name, state: next } = random.pick(choices)
      trace.push(name)
      state = next
      steps++
      const violation = model.violation(state)
      if (violation !== null) return { steps, violation, trace }
      if (trace.length > MAX_WALK_STEPS) break
    }
  }
  return { steps, violation: null, trace: [] }
}

const MAX_WALK_STEPS = 120

/** Replaces the state of visited entries, so that it can be freed. */
const RELEASED_STATE = {} as ModelState

function traceOf (visit: Visit): string[] {
  const names: string[] = []
  for (let at: Visit | null = visit; at !== null; at = at.parent) names.unshift(at.name)
  return names
}

function keyOf (state: ModelState, ids: Map<unknown, number>): string {
  const idOf = (part: object): number => {
    const text = textOf(part)
    const known = ids.get(text)
    if (known !== undefined) return known
    ids.set(text, ids.size)
    return ids.size - 1
  }
  const { budget } = state
  const parts = [
    state.time,
    ...state.history.map(idOf),
    '|', ...state.nodes.map(idOf),
    '|', ...state.messages.map(idOf),
    '|', ...state.votes,
    '|', ...state.reportedVoters,
    '|', ...state.writes.map(idOf).sort(),
    '|', budget.heartbeats, budget.restarts, budget.crashes, budget.writes, budget.releases
  ]
  return parts.join(' ')
}
