import type { Size } from '../types/job.js'
import { countFitting, isHeldUp, limitPerWorker } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'
import type { GangHold, StepState } from './model.js'
import { reservedSize } from './Registry.js'

/** Time by which a gang must end earlier to wait for faster workers, as a share of its declared duration: forecasts are off by this much. */
const MIN_GAIN_RATIO = 0.1

/** Workers on which a gang is expected to fit at the same time. */
export interface GangSchedule {
  /** Monotonic ms at which the gang is expected to start. */
  startAt: number
  shares: GangShare[]
}

/** Tasks of a gang on one worker. */
export interface GangShare {
  slot: Slot
  tasks: number
}

/** Time from which further tasks of a gang fit on a worker. */
interface Opening extends GangShare {
  /** Monotonic ms. */
  at: number
}

/**
 * Finds the earliest time at which all tasks of a gang fit on workers that no other gang holds, or on any workers if the gang is held up. If the speeds of
 * the workers differ, the time counts at which the gang ends, which is that of its slowest member: the slowest classes of workers are left out if that is
 * clearly earlier.
 *
 * @param step - the gang
 * @param slots - workers on which the gang may run
 * @param options - `now`: monotonic ms; `earliest`: monotonic ms before which the gang can't start, for example for lack of tickets
 * @returns the schedule, or `undefined` if the gang doesn't fit on these workers even after the end of all their runs
 */
export function scheduleGang (step: StepState, slots: Slot[], options: { now: number, earliest?: number, count?: number }): GangSchedule | undefined {
  const classes = [...new Set(slots.map(({ worker }) => worker.speedClass))].sort((a, b) => a - b)
  if (classes.length <= 1) return scheduleOnAny(step, slots, options)
  let best: { schedule: GangSchedule, endAt: number } | undefined
  for (const least of classes) {
    const schedule = scheduleOnAny(step, slots.filter(({ worker }) => worker.speedClass >= least), options)
    if (schedule === undefined) continue
    const endAt = schedule.startAt + step.definition.estimate / Math.min(...schedule.shares.map(({ slot }) => slot.worker.speed))
    if (best === undefined || endAt < best.endAt - MIN_GAIN_RATIO * step.definition.estimate) best = { schedule, endAt }
  }
  return best?.schedule
}

function scheduleOnAny (step: StepState, slots: Slot[], { now, earliest = now, count = step.tasks.length }: { now: number, earliest?: number, count?: number }): GangSchedule | undefined {
  const isUnheld = isHeldUp(step, now) ? () => true : ({ hold }: Slot) => hold === undefined || hold.owner === step
  const openings = slots.filter(isUnheld).flatMap(slot => findOpenings(slot, step, now))
  openings.sort((a, b) => a.at - b.at)
  const tasksBySlot = new Map<Slot, number>()
  let total = 0
  let startAt: number | undefined
  for (const { at, slot, tasks } of openings) {
    if (startAt !== undefined && at > startAt) break
    tasksBySlot.set(slot, (tasksBySlot.get(slot) ?? 0) + tasks)
    total += tasks
    if (startAt === undefined && total >= count) startAt = Math.max(at, earliest)
  }
  return startAt === undefined ? undefined : { startAt, shares: selectShares(tasksBySlot, count) }
}

function findOpenings (slot: Slot, step: StepState, now: number): Opening[] {
  const openings: Opening[] = []
  const free = { ...slot.free }
  let total = 0
  const update = (at: number): void => {
    const fitting = limitPerWorker(countFitting(free, step.definition), slot, step)
    if (fitting > total) openings.push({ at, slot, tasks: fitting - total })
    total = Math.max(total, fitting)
  }
  update(now)
  for (const { at, size } of slot.releases(now)) {
    addSize(free, size)
    update(at)
  }
  return openings
}

/** Covers the tasks with few workers, so that others remain free for other gangs and the call for their tickets is short. */
function selectShares (tasksBySlot: Map<Slot, number>, count: number): GangShare[] {
  const shares: GangShare[] = []
  let remaining = count
  for (const [slot, tasks] of [...tasksBySlot].sort((a, b) => b[1] - a[1])) {
    if (remaining <= 0) break
    shares.push({ slot, tasks: Math.min(tasks, remaining) })
    remaining -= tasks
  }
  return shares
}

/**
 * Holds the capacity of a schedule for its gang in this round: other tasks may use what the gang leaves, or what they release before it starts.
 *
 * @param step - the gang
 * @param schedule - the workers to hold, and the expected start
 * @param options - `priority`: priority of the gang's route; `now`: monotonic ms
 * @returns the hold, for the next round
 */
export function holdSchedule (step: StepState, { startAt, shares }: GangSchedule, { priority, now }: { priority: number, now: number }): GangHold {
  const size = reservedSize(step.definition)
  for (const { slot, tasks } of shares) {
    const blocked = { cpu: tasks * size.cpu, memory: tasks * size.memory, accelerators: tasks * size.accelerators }
    for (const release of slot.releases(now)) if (release.at <= startAt) addSize(blocked, release.size, -1)
    slot.hold = { owner: step, priority, startAt, blocked: { cpu: Math.max(0, blocked.cpu), memory: Math.max(0, blocked.memory), accelerators: Math.max(0, blocked.accelerators) } }
  }
  return { startAt, tasksByWorker: new Map(shares.map(({ slot, tasks }) => [slot.worker.report.id, tasks])) }
}

/** Ends a gang's hold on workers. */
export function releaseHold (step: StepState, slots: Slot[]): void {
  for (const slot of slots) if (slot.hold?.owner === step) slot.hold = undefined
}

function addSize (to: Size, size: Size, sign: 1 | -1 = 1): void {
  to.cpu += sign * size.cpu
  to.memory += sign * size.memory
  to.accelerators += sign * size.accelerators
}
