import { Chart } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import chart from '../types/node.chart.json' with { type: 'json' }
import { EVENTS } from '../types/events.js'
import type { NodeEvent, NodeState } from '../types/StatusReport.js'

const CHART = new Chart<NodeState, NodeEvent>(chart as ConstructorParameters<typeof Chart>[0])

/** The state of a node, as its chart allows it to change. */
export class Lifecycle {
  private current: NodeState = CHART.initial

  /** @param log - where changes of state are written */
  constructor (private readonly log: Log) {}

  /** @returns the state now */
  get state (): NodeState {
    return this.current
  }

  /**
   * @param event - what happened
   * @returns whether the chart allowed it
   */
  transition (event: NodeEvent): boolean {
    const next = CHART.next(this.current, event)
    if (next === null) return false
    this.log.write(EVENTS.stateChanged, { from: this.current, to: next, cause: event })
    this.current = next
    return true
  }
}
