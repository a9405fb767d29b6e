import { Chart } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import chart from '../types/node.chart.json' with { type: 'json' }
import { EVENTS } from '../types/events.js'
import type { NodeEvent, NodeState } from '../types/StatusReport.js'

const CHART = new Chart<NodeState, NodeEvent>(chart as ConstructorParameters<typeof Chart>[0])

/** State machine of a node. Its chart defines the allowed transitions. */
export class Lifecycle {
  private current: NodeState = CHART.initial

  /** @param log - receives an event for each transition */
  constructor (private readonly log: Log) {}

  /** @returns the current state */
  get state (): NodeState {
    return this.current
  }

  /**
   * Applies an event to the state.
   *
   * @param event - what happened
   * @returns `false` if the chart has no transition for the event in the current state
   */
  transition (event: NodeEvent): boolean {
    const next = CHART.next(this.current, event)
    if (next === null) return false
    this.log.write(EVENTS.stateChanged, { from: this.current, to: next, cause: event })
    this.current = next
    return true
  }
}
