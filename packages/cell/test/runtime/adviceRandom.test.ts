import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'
import { createRandom } from '../support/createRandom.js'

const TERMS = { base: 630, perWorker: 9, validity: 1500 }
const WORKERS = 6
const FAULT_PERIOD_MS = 15_000
/** Maximum duration of a fault. */
const LAST_FAULT_MS = 5500
/** Time after the last fault in which every job ends: a lease, reviews of rejected workers, calls for advice and the jobs themselves. */
const RECOVERY_PERIOD_MS = 40_000

/** A worker is allowed in every second incarnation. */
function allows (worker: string, born: number): boolean {
  return (Number(worker.slice(1)) + born) % 2 === 0
}

/** Submits single tasks and gangs while workers crash, leave and change their capacity and nodes lose the advice service; returns the jobs that have not completed. */
async function runFaults (seed: number): Promise<{ unfinished: string[], rig: CellRig }> {
  const random = createRandom(seed)
  const faults = new Map<string, 'refused' | 'silent'>()
  const rig = await createSteadyRig({
    nodes: 4,
    workers: WORKERS,
    cpu: 8000,
    route: { priority: 0, advice: TERMS },
    advice: (_step, named) => TERMS.base + named * TERMS.perWorker,
    allows,
    adviceFault: node => faults.get(node),
    behaviour: () => ({ duration: 800, ending: 'done', size: { cpu: 3000, memory: 100, accelerators: 0 } })
  })
  const size = { cpu: 3000, memory: 100, accelerators: 0 }
  const accepted: string[] = []
  const end = rig.clock.now() + FAULT_PERIOD_MS
  while (rig.clock.now() < end) {
    const id = `w${Math.floor(random() * WORKERS)}`
    const worker = rig.fleet.workers.get(id)!
    const span = 500 + random() * 5000
    const kinds: Array<() => void> = [
      () => { worker.crash(span) },
      () => { worker.crash(span) },
      () => { worker.restart() },
      () => { worker.isCutOff = true; rig.clock.schedule(span, () => { worker.isCutOff = false }) },
      () => { rig.removeInstance(id); rig.clock.schedule(span, () => { rig.putInstance(worker.report) }) },
      () => { rig.setCapacity(id, 2000); rig.clock.schedule(span, () => { rig.setCapacity(id, 8000) }) },
      () => { const node = `n${Math.floor(random() * 4)}`; faults.set(node, random() < 0.5 ? 'refused' : 'silent'); rig.clock.schedule(span, () => { faults.delete(node) }) }
    ]
    kinds[Math.floor(random() * kinds.length)]!()
    const steps = random() < 0.5 ? [{ count: 4, gang: true, size, estimate: 800 }] : [{ count: 1 + Math.floor(random() * 4), size, estimate: 800 }, { count: 3, gang: true, perWorker: 1, size, estimate: 800, after: [0] }]
    const { id: job, outcome } = await rig.submit(rig.nodes[Math.floor(random() * 4)]!, steps)
    if (outcome.kind === 'accepted') accepted.push(job)
    await rig.run(100 + random() * 600)
  }
  await rig.run(LAST_FAULT_MS)
  for (const worker of rig.fleet.workers.values()) if (!allows(worker.report.id, worker.report.born)) worker.restart()
  await rig.run(RECOVERY_PERIOD_MS)
  const phases = await rig.phases(accepted)
  return { unfinished: accepted.filter((id, index) => phases[index] !== 'completed' && !(phases[index] === 'failed' && mayBeGivenUp(rig, id))), rig }
}

/** @returns whether at least two workers have crashed under a task of the job, after which the platform allows to give it up */
function mayBeGivenUp (rig: CellRig, job: string): boolean {
  return [...rig.fleet.crashes].some(([task, crashes]) => task.startsWith(`${job}.`) && crashes >= 2)
}

// Guards against accepted jobs that never start although there is room: workers that were asked about at the wrong moment, tickets of former incarnations.
describe('jobs that need advice', () => {
  for (let seed = 1; seed <= 8; seed++) {
    test(`end after crashes, changed capacities and failed calls for advice (seed ${seed})`, async () => {
      const { unfinished, rig } = await runFaults(seed)
      expect(unfinished).toEqual([])
      expect(rig.fleet.violations).toEqual([])
    })
  }
})
