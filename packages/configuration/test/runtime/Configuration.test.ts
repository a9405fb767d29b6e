import { test } from 'node:test'
import { FakeClock, Network, SeededRandom } from '@rattanstep/core'
import type { Incarnation, Message } from '@rattanstep/core'
import { DEFAULT_RULES } from '@rattanstep/rules'
import { MemoryTable } from '@rattanstep/stand-ins'
import { MemoryLog } from '@rattanstep/telemetry'
import { expect } from 'earl'
import { Configuration } from '../../src/index.js'

/** Milliseconds in which a node has read the table again. */
const POLL_MS = 1100

class RecordingNetwork extends Network {
  readonly sent: Array<[Incarnation, Message]> = []

  override addPeer (): void {}

  override setReceiver (): void {}

  override send (to: Incarnation, message: Message): void {
    this.sent.push([to, message])
  }
}

interface Node {
  configuration: Configuration
  network: RecordingNetwork
}

class Rig {
  readonly clock = new FakeClock()
  readonly table = new MemoryTable({ clock: this.clock })
  readonly log = new MemoryLog()

  async start (self: Incarnation): Promise<Node> {
    const { clock, table, log } = this
    const network = new RecordingNetwork()
    const random = new SeededRandom(1)
    const configuration = new Configuration({ cell: 'c', self, table, network, clock, random, log, defaults: DEFAULT_RULES })
    await configuration.start()
    return { network, configuration }
  }
}

function text (note: string): string {
  return `${DEFAULT_RULES}# ${note}\n`
}

test('without a row the defaults are in force', async () => {
  const { configuration } = await new Rig().start('a@1')
  expect([configuration.version, configuration.value.text]).toEqual([0, DEFAULT_RULES])
})

test('of operators who start from one version, one wins and the others are told the version in force', async () => {
  const rig = new Rig()
  const nodes = [await rig.start('a@1'), await rig.start('b@1'), await rig.start('c@1')]
  const applied = await Promise.all(nodes.map(async ({ configuration }, number) => await configuration.apply(text(`operator ${number}`), 0)))
  expect(applied.filter(result => result.isOk()).length).toEqual(1)
  const errors = applied.flatMap(result => result.isErr() ? [result.error] : [])
  expect(errors).toEqual([{ fault: 'conflict', version: 1 }, { fault: 'conflict', version: 1 }])
  await rig.clock.advance(POLL_MS)
  expect(new Set(nodes.map(({ configuration }) => configuration.value.text)).size).toEqual(1)
})

test('a change whose answer was lost is known to have been accepted', async () => {
  const rig = new Rig()
  const { configuration } = await rig.start('a@1')
  rig.table.faults.loseAnswers = true
  const applied = configuration.apply(text('lost answer'), null)
  await rig.clock.advance(POLL_MS)
  expect((await applied).unwrapOr(0)).toEqual(1)
  expect(configuration.version).toEqual(1)
})

test('a change while the table is down is refused and nothing is in force', async () => {
  const rig = new Rig()
  const { configuration } = await rig.start('a@1')
  rig.table.faults.down = true
  const applied = await configuration.apply(text('outage'), null)
  expect(applied.isErr() && applied.error.fault).toEqual('unavailable')
  expect(configuration.version).toEqual(0)
})

test('text with findings is refused with all of them', async () => {
  const { configuration } = await new Rig().start('a@1')
  const applied = await configuration.apply('classes: 7\nroutes: 7\n', null)
  const findings = applied.isErr() && applied.error.fault === 'findings' ? applied.error.findings : []
  expect(findings.length >= 2).toEqual(true)
})

test('a node that starts while the table is down takes the rules from a peer', async () => {
  const rig = new Rig()
  rig.table.faults.down = true
  const { configuration, network } = await rig.start('a@1')
  expect(configuration.ready).toEqual(false)
  configuration.heard('b@1', 4)
  expect(network.sent).toEqual([['b@1', { kind: 'fetch', what: 'rules' }]])
  configuration.receive('b@1', { kind: 'rules', version: 4, text: text('peer') })
  expect([configuration.ready, configuration.version]).toEqual([true, 4])
})

const STALE: Array<{ title: string, message: Message }> = [
  { title: 'an older version', message: { kind: 'rules', version: 1, text: text('older') } },
  { title: 'another text of the same version', message: { kind: 'rules', version: 2, text: text('other') } },
  { title: 'a newer version that this release cannot read', message: { kind: 'rules', version: 9, text: 'classes: 7\n' } }
]

for (const { title, message } of STALE) {
  test(`${title} from a peer changes nothing`, async () => {
    const { configuration } = await new Rig().start('a@1')
    configuration.receive('b@1', { kind: 'rules', version: 2, text: text('in force') })
    configuration.receive('b@1', message)
    expect([configuration.version, configuration.value.text]).toEqual([2, text('in force')])
  })
}

test('a row of another shape leaves the rules before in force and is logged once', async () => {
  const rig = new Rig()
  const { configuration } = await rig.start('a@1')
  await rig.table.commit({ operation: 'x', checks: [], writes: [{ key: 'rules/c', value: '{"later":true}' }] })
  await rig.clock.advance(3 * POLL_MS)
  expect(configuration.version).toEqual(0)
  expect(rig.log.lines.filter(line => line.event.name === 'rules-unreadable').length).toEqual(1)
})
