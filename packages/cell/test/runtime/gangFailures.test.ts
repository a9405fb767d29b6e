import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

/** Has both members of a gang fail in its first run, and a worker answer again only after the decider has recorded the end of the other member. */
async function failTwice ({ isDeciderKilled, maxAttempts = 2 }: { isDeciderKilled: boolean, maxAttempts?: number }): Promise<{ rig: CellRig, id: string }> {
  const rig: CellRig = await createSteadyRig({
    workers: 2,
    cpu: 1000,
    route: { maxAttempts },
    behaviour: task => ({ duration: 500, ending: rig.fleet.starts.get(task)! > 1 ? 'done' : 'failed', size: { cpu: 1000, memory: 100, accelerators: 0 } })
  })
  const { id } = await rig.submit(rig.nodes[0]!, [{ count: 2, gang: true, estimate: 500 }])
  await rig.until(() => rig.fleet.starts.size === 2)
  const late = rig.fleet.workers.get('w1')!
  late.isCutOff = true
  await rig.until(() => [...rig.fleet.workers.values()].every(({ running }) => running.size === 0))
  await rig.run(300)
  if (isDeciderKilled) rig.kill(rig.decider!)
  late.isCutOff = false
  await rig.run(10_000)
  expect(rig.fleet.violations).toEqual([])
  return { rig, id }
}

// Guards against jobs that are shown as failed too early: a failed run of a gang counted once more for each member whose end a new decider saw.
describe('a run of a gang in which several members fail', () => {
  for (const isDeciderKilled of [false, true]) {
    const title = isDeciderKilled ? 'if a new decider sees the end of one of them' : 'without a takeover'
    test(`counts as one failure ${title}`, async () => {
      const { rig, id } = await failTwice({ isDeciderKilled })
      expect(await rig.phases([id])).toEqual(['completed'])
    })

    test(`fails the job if it was the last attempt, ${title}`, async () => {
      const { rig, id } = await failTwice({ isDeciderKilled, maxAttempts: 1 })
      expect(await rig.phases([id])).toEqual(['failed'])
    })
  }
})
