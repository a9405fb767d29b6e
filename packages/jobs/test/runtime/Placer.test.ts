import { test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { Placer } from '../../src/runtime/Placer.js'
import type { PlacementUnit } from '../../src/runtime/Placer.js'
import type { Change } from '../../src/runtime/TableWriter.js'

type Options = ConstructorParameters<typeof Placer>[0]

/** Places two tasks. Both owners grant a hold on worker w1, because it moves from the first to the second between their answers. */
async function placeWithTakeover (isGang: boolean): Promise<{ changes: Change[], sent: string[] }> {
  const changes: Change[] = []
  const sent: string[] = []
  const answers: Record<string, object> = { a: { index: 0, worker: 'w1', version: 1, hold: 'a/0' }, b: { index: 1, worker: 'w1', version: 2, hold: 'b/0' } }
  const messenger = {
    send: (to: string, operation: string, body: { unit: string, holds?: string[] }) => {
      sent.push(`${operation} ${to} ${(body.holds ?? []).join(',')}`.trim())
      if (operation === 'hold') queueMicrotask(() => { placer.handleHolds({ unit: body.unit, holds: [answers[to]!] } as Parameters<Placer['handleHolds']>[0]) })
    }
  } as unknown as Options['messenger']
  const writer = {
    write: async (change: Change) => {
      changes.push(change)
      return { outcome: 'committed' }
    }
  } as unknown as Options['writer']
  const context = { self: 'a', clock: new FakeClock(), tuning: { holdTimeout: 100 }, holders: () => ['a', 'b'] } as unknown as Options['context']
  const placer = new Placer({ context, messenger, writer })
  const row = { job: 'j', fence: 0, avoid: [], resources: {}, class: '', team: '' }
  const tasks = [0, 1].map(index => ({ version: 1, content: { ...row, index } }))
  const unit = { job: { version: 1, content: { id: 'j', submitted: 0, team: '', class: '' } }, tasks, isAllOrNothing: isGang, reservesCapacity: false, avoidsFailedWorkers: true, priority: 0, preemptsBelow: null }
  await placer.place(unit as unknown as PlacementUnit)
  return { changes, sent }
}

test('a hold of a former owner is not used together with a hold of the new owner', async () => {
  const { changes, sent } = await placeWithTakeover(false)
  expect(changes[0]!.checks.filter(check => check.key.startsWith('keeper/'))).toEqual([{ key: 'keeper/w1', version: 2 }])
  const placed = changes[0]!.writes.filter(write => write.key.startsWith('task/')).length
  expect(placed).toEqual(1)
  expect(sent.filter(line => line.startsWith('committed')).every(line => line.endsWith(' b/0'))).toEqual(true)
})

test('a gang is not placed when a former owner granted one of its holds', async () => {
  const { changes, sent } = await placeWithTakeover(true)
  expect(changes).toEqual([])
  expect(sent.filter(line => line.startsWith('release')).length).toEqual(2)
})
