import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import { explainWait } from './explainWait.js'
import type { WaitContext, WaitReason } from './explainWait.js'
import type { StepState } from './model.js'

/** Time after which a step that is ready and makes no progress is reported for the first time; each further report takes twice as long. */
const FIRST_REPORT_MS = 2000
/** Maximum number of lines for each check; the steps that have waited longest come first. */
const MAX_LINES_PER_CHECK = 5

/** A ready step that was seen without progress. */
interface Wait {
  /** Monotonic ms from which the step has been ready without progress. */
  since: number
  /** Number of waiting tasks at that time; a change is progress. */
  waiting: number
  /** Monotonic ms of the next report. */
  reportAt: number
}

/** Reports steps that are ready and are not placed, and what the decider knows about them. */
export class WaitMonitor {
  private waits = new Map<StepState, Wait>()
  /** Number of steps that have waited for longer than two seconds, by reason, as of the last check. */
  readonly counts = new Map<WaitReason, number>()

  constructor (private readonly options: { clock: Clock, log: Log }) {}

  /**
   * Looks at all ready steps.
   *
   * @param readySteps - steps that have waiting tasks and whose earlier steps are done
   * @param contextOf - returns what the decider knows about a step's route and its workers
   */
  check (readySteps: Iterable<StepState>, contextOf: (step: StepState) => WaitContext): void {
    const now = this.options.clock.now()
    const waits = new Map<StepState, Wait>()
    for (const step of readySteps) if (step.occurrence.dueAt <= now) waits.set(step, this.updateWait(step, now))
    this.waits = waits
    this.counts.clear()
    const late = [...waits].filter(([, { since }]) => now - since >= FIRST_REPORT_MS).sort(([, a], [, b]) => a.since - b.since)
    let lines = 0
    for (const [step, wait] of late) {
      const facts = explainWait(step, contextOf(step))
      this.counts.set(facts.reason, (this.counts.get(facts.reason) ?? 0) + 1)
      if (wait.reportAt > now || lines >= MAX_LINES_PER_CHECK) continue
      lines++
      wait.reportAt = now + (now - wait.since)
      this.options.log.write(CELL_EVENTS.stepWaits, { step: step.name, since: Math.round(now - wait.since), ...facts })
    }
  }

  private updateWait (step: StepState, now: number): Wait {
    const waiting = step.tasks.countWaiting()
    const known = this.waits.get(step)
    return known?.waiting === waiting ? known : { since: now, waiting, reportAt: now + FIRST_REPORT_MS }
  }
}
