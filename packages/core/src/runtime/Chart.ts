import { createMachine, getInitialSnapshot, getNextSnapshot } from 'xstate'
import type { AnyMachineSnapshot, AnyStateMachine } from 'xstate'

/** Content of a chart file. */
export interface ChartFile {
  id: string
  initial: string
  states: Record<string, { type?: 'final', on?: Record<string, string> }>
}

/** A state chart loaded from a file. Each transition is interpreted once and cached. */
export class Chart<State extends string, Event extends string> {
  readonly initial: State
  private readonly machine: AnyStateMachine
  private readonly transitions = new Map<string, State | null>()
  private readonly finalStates = new Set<string>()

  /**
   * @param file - content of the chart file
   * @throws Error when a transition or the initial state refers to a state that does not exist
   */
  constructor (file: ChartFile) {
    checkTargets(file)
    this.machine = createMachine(file as Parameters<typeof createMachine>[0])
    this.initial = getInitialSnapshot(this.machine).value as State
    for (const [name, state] of Object.entries(file.states)) {
      if (state.type === 'final') this.finalStates.add(name)
    }
  }

  /**
   * @param state - current state
   * @param event - the event
   * @returns the next state, or `null` when the chart does not allow the event in this state
   */
  next (state: State, event: Event): State | null {
    const key = `${state} ${event}`
    const known = this.transitions.get(key)
    if (known !== undefined) return known
    const next = this.interpret(state, event)
    this.transitions.set(key, next)
    return next
  }

  /**
   * @param state - a state
   * @returns whether it is a final state
   */
  isFinal (state: State): boolean {
    return this.finalStates.has(state)
  }

  private interpret (state: State, event: Event): State | null {
    const snapshot = this.machine.resolveState({ value: state, context: {} }) as AnyMachineSnapshot
    if (!snapshot.can({ type: event })) return null
    return getNextSnapshot(this.machine, snapshot, { type: event }).value as State
  }
}

function checkTargets (file: ChartFile): void {
  const missing: string[] = []
  for (const [name, state] of Object.entries(file.states)) {
    for (const [event, target] of Object.entries(state.on ?? {})) {
      if (!(target in file.states)) missing.push(`${name} on ${event} to ${target}`)
    }
  }
  if (!(file.initial in file.states)) missing.push(`initial ${file.initial}`)
  if (missing.length === 0) return
  throw new Error(`chart ${file.id} refers to states that do not exist: ${missing.join('; ')}; add the states or correct the names`)
}
