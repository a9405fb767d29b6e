import { Chart } from '@rattanstep/core'
import chart from '../charts/worker.json' with { type: 'json' }

/** Health of a worker. `probing` lets one run through as a probe, and `awaiting` waits for the end of that run. */
export type HealthState = 'healthy' | 'quarantined' | 'probing' | 'awaiting'

/**
 * Event that changes the health of a worker. `due`: its next probe is due; `granted`: a run was granted on it as the probe;
 * `lost`: the probe has not ended in time.
 */
type HealthEvent = 'outlier' | 'due' | 'granted' | 'completed' | 'failed' | 'lost'

/** Number of consecutive failures from which a worker may be an outlier. */
const OUTLIER_FAILURES = 5

/**
 * Mean failure rate of the other workers below which a failing worker is an outlier. At a higher rate, the failures are
 * not specific to the worker.
 */
const MAX_PEER_FAILURE_RATE = 0.5

/** Weight of the newest run in a worker's failure rate, which is an exponential moving average. */
const FAILURE_RATE_WEIGHT = 0.1

/** Largest fraction of all workers that may be unhealthy at the same time. */
const MAX_UNHEALTHY_FRACTION = 1 / 3

/** Time until the first probe; doubled with each probe that fails. */
const FIRST_PROBE_DELAY_MS = 2000
const MAX_PROBE_DELAY_MS = 60_000

/** Time after which a probe that has not ended counts as failed. */
const PROBE_TIMEOUT_MS = 30_000

/** Health record of one worker. */
interface WorkerHealth {
  state: HealthState
  consecutiveFailures: number
  /** Moving average of failed runs, from 0 to 1. */
  failureRate: number
  /** Monotonic time in ms at which the next probe is due or the current one times out. */
  dueAt: number
  /** Number of probe delays since the worker was last healthy; each delay is twice the previous one, up to the maximum. */
  probeCount: number
  /** Monotonic time in ms since which the worker has not been healthy. */
  unhealthySince: number
}

const CHART = new Chart<HealthState, HealthEvent>(chart)

/** Quarantines workers that fail everything while the other workers do not, and releases them after a successful probe. */
export class Quarantine {
  private readonly records = new Map<string, WorkerHealth>()
  private readonly unhealthy = new Set<string>()

  /** @param worker - identifier of a worker to monitor */
  add (worker: string): void {
    if (this.records.has(worker)) return
    this.records.set(worker, { state: CHART.initial, consecutiveFailures: 0, failureRate: 0, dueAt: 0, probeCount: 0, unhealthySince: 0 })
  }

  /** @param worker - identifier of a worker that is no longer monitored */
  remove (worker: string): void {
    this.records.delete(worker)
    this.unhealthy.delete(worker)
  }

  /**
   * @param worker - identifier of a worker
   * @returns its health; `healthy` for an unknown worker
   */
  getHealth (worker: string): HealthState {
    return this.records.get(worker)?.state ?? 'healthy'
  }

  /**
   * @param worker - identifier of a worker
   * @returns monotonic time in ms since which it has not been healthy; `null` when it is healthy
   */
  getUnhealthySince (worker: string): number | null {
    const health = this.records.get(worker)
    return health === undefined || health.state === 'healthy' ? null : health.unhealthySince
  }

  /**
   * Records how a run ended.
   *
   * @param worker - identifier of the worker
   * @param succeeded - whether the run completed
   * @param now - monotonic time in ms
   * @returns whether the worker's health changed
   */
  recordRun (worker: string, succeeded: boolean, now: number): boolean {
    const health = this.records.get(worker)
    if (health === undefined) return false
    health.consecutiveFailures = succeeded ? 0 : health.consecutiveFailures + 1
    health.failureRate += ((succeeded ? 0 : 1) - health.failureRate) * FAILURE_RATE_WEIGHT
    if (health.state === 'awaiting') return this.transition(worker, health, succeeded ? 'completed' : 'failed', now)
    if (health.state !== 'healthy' || !this.isOutlier(worker, health)) return false
    return this.transition(worker, health, 'outlier', now)
  }

  /**
   * Records that work was granted on a worker; on a worker in `probing`, this work is the probe.
   *
   * @param worker - identifier of the worker
   * @param now - monotonic time in ms
   * @returns whether the worker's health changed
   */
  recordGrant (worker: string, now: number): boolean {
    const health = this.records.get(worker)
    if (health?.state !== 'probing') return false
    return this.transition(worker, health, 'granted', now)
  }

  /**
   * @param now - monotonic time in ms
   * @returns workers whose health changed because a probe is due or has timed out
   */
  tick (now: number): string[] {
    const changed: string[] = []
    for (const worker of this.unhealthy) {
      const health = this.records.get(worker)!
      if (health.dueAt > now) continue
      const event = health.state === 'awaiting' ? 'lost' : 'due'
      if (this.transition(worker, health, event, now)) changed.push(worker)
    }
    return changed
  }

  private isOutlier (worker: string, health: WorkerHealth): boolean {
    if (health.consecutiveFailures < OUTLIER_FAILURES) return false
    if (this.unhealthy.size + 1 > this.records.size * MAX_UNHEALTHY_FRACTION) return false
    return this.peerFailureRate(worker) < MAX_PEER_FAILURE_RATE
  }

  /** Returns the mean failure rate of the other healthy workers; 1 without any, since there is nothing to compare with. */
  private peerFailureRate (worker: string): number {
    let sum = 0
    let count = 0
    for (const [id, health] of this.records) {
      if (id === worker || health.state !== 'healthy') continue
      sum += health.failureRate
      count++
    }
    return count === 0 ? 1 : sum / count
  }

  private transition (worker: string, health: WorkerHealth, event: HealthEvent, now: number): boolean {
    const next = CHART.next(health.state, event)
    if (next === null) return false
    if (health.state === 'healthy') health.unhealthySince = now
    health.state = next
    if (next === 'healthy') {
      health.probeCount = 0
      this.unhealthy.delete(worker)
      return true
    }
    this.unhealthy.add(worker)
    health.dueAt = next === 'quarantined' ? now + probeDelay(health.probeCount++) : nextDueAt(next, now)
    return true
  }
}

function probeDelay (count: number): number {
  return Math.min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2 ** count)
}

function nextDueAt (state: HealthState, now: number): number {
  return state === 'awaiting' ? now + PROBE_TIMEOUT_MS : Infinity
}
