import { reserveCapacity, taskCapacity } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'
import type { StepState, Task } from './model.js'
import type { WaitingTasks } from '../openJobs/TaskList.js'
import { compareForSpeed } from '../speeds/speedClass.js'
import type { Placement } from './planRound.js'

/** Minimum remaining validity of a ticket when a task is placed: covers a commit and the order to the worker. */
export const MIN_TICKET_VALIDITY_MS = 60

/**
 * @param slot - a worker
 * @param step - a step
 * @returns whether the step may run on the worker, as far as known
 */
export function isEligible ({ worker }: Pick<Slot, 'worker'>, step: StepState): boolean {
  const { label } = step.definition
  if (label !== undefined && !worker.report.labels.includes(label)) return false
  return !step.hasRejected(worker.report.id, worker.presence)
}

/**
 * @param slot - a worker
 * @param step - a step whose route needs advice
 * @returns whether the advice service allows the step on the worker's incarnation
 */
export function isAllowed ({ worker: { report } }: Slot, { allowedWorkers }: StepState): boolean {
  return allowedWorkers.get(report.id) === report.born
}

/**
 * @param step - a step whose route needs advice
 * @param slot - a worker
 * @param at - monotonic ms at which a task is to be placed
 * @returns whether the step has a ticket that is valid then
 */
export function hasTicket (step: StepState, { worker }: Slot, at: number): boolean {
  const ticket = step.ticketFor(worker.report.id)
  return ticket?.born === worker.report.born && ticket.validUntil > at + MIN_TICKET_VALIDITY_MS
}

/**
 * Places as many tasks as fit; of a gang, all tasks or none.
 *
 * @param waiting - tasks of the step
 * @param slots - workers on which the tasks may run now
 * @param step - the step
 * @param start - `now`: monotonic ms; `priority`: priority of the step's route; `neededSpeedClass`: see `RankedStep`
 * @returns the placements, whose capacity is reserved in the slots
 */
export function placeTasks (waiting: WaitingTasks, slots: Slot[], step: StepState, start: { now: number, priority: number, neededSpeedClass?: number }): Placement[] {
  const ordered = orderSlots(slots, step, start.neededSpeedClass ?? 0)
  const { gang } = step.definition
  const chosen: Array<{ task: Task | undefined, slot: Slot }> = []
  const place = (task?: Task): boolean => {
    const slot = findSlot(ordered, step, task?.avoidedWorkers, start)
    if (slot === undefined) return false
    reserveCapacity(slot, step.definition)
    slot.starts--
    slot.placed = { step, tasks: slot.placed?.step === step ? slot.placed.tasks + 1 : 1 }
    chosen.push({ task, slot })
    return true
  }
  let isPlaced = true
  for (const task of waiting.touched) {
    isPlaced = place(task)
    if (!isPlaced && gang) break
  }
  if (isPlaced || !gang) for (let count = 0; count < waiting.untouched && place(); count++);
  if (gang && chosen.length < waiting.touched.length + waiting.untouched) {
    for (const { slot } of chosen) {
      reserveCapacity(slot, step.definition, -1)
      slot.starts++
      slot.placed = undefined
    }
    return []
  }
  return chosen.map(({ task = step.tasks.createNext(), slot }) => ({ task, worker: slot.worker, ticket: step.ticketFor(slot.worker.report.id)?.text }))
}

/**
 * Sorts the workers by preferred rack, then slow ones last, then by failures, by how well their speeds suit the step, and by free capacity. Using the
 * fullest workers first keeps others free for gangs; workers that are held for a gang come last.
 */
function orderSlots (slots: Slot[], step: StepState, neededSpeedClass: number): Slot[] {
  const rack = step.definition.dataRack ?? (step.definition.sameRack ? findRackWithMostCapacity(slots, step) : undefined)
  const rackPenalty = (slot: Slot): number => rack !== undefined && !slot.worker.report.labels.includes(rack) ? 1 : 0
  const holdPenalty = ({ hold }: Slot): number => hold !== undefined && hold.owner !== step ? 1 : 0
  return [...slots].sort((a, b) => rackPenalty(a) - rackPenalty(b) || Number(a.worker.isSlow) - Number(b.worker.isSlow) || a.worker.consecutiveFailures - b.worker.consecutiveFailures || holdPenalty(a) - holdPenalty(b) || compareForSpeed(a.worker, b.worker, neededSpeedClass) || a.free.cpu - b.free.cpu)
}

/** @returns label of the rack on which most tasks of the step fit at present */
function findRackWithMostCapacity (slots: Slot[], step: StepState): string | undefined {
  const fitting = new Map<string, number>()
  for (const slot of slots) {
    for (const label of slot.worker.report.labels) {
      if (isRack(label)) fitting.set(label, (fitting.get(label) ?? 0) + taskCapacity(slot, step))
    }
  }
  return [...fitting].sort((a, b) => b[1] - a[1])[0]?.[0]
}

/** Labels of racks have the form `r1-3`. */
export function isRack (label: string): boolean {
  return /^r\d+-\d+$/.test(label)
}

function findSlot (slots: Slot[], step: StepState, avoidedWorkers: Task['avoidedWorkers'] | undefined, start: { now: number, priority: number }): Slot | undefined {
  let fallback: Slot | undefined
  for (const slot of slots) {
    if ((slot.starts < 1 && !step.definition.gang) || taskCapacity(slot, step, start) < 1) continue
    if (avoidedWorkers?.has(slot.worker.report.id) !== true) return slot
    fallback ??= slot
  }
  return fallback
}
