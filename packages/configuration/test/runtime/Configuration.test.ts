import { test } from 'node:test'
import { FakeClock, Network, SeededRandom } from '@rattanstep/core'
import type { Incarnation, Message } from '@rattanstep/core'
import { DEFAULT_RULES } from '@rattanstep/rules'
import { MemoryTable } from '@rattanstep/stand-ins'
import { MemoryLog } from '@rattanstep/telemetry'
import { expect } from 'earl'
import { Configuration } from '../../src/index.js'

/** Time within which a node polls the table again, in ms. */
const POLL_WAIT_MS = 1100

class RecordingNetwork extends Network {
  readonly sent: Array<[Incarnation, Message]> = []

  override addPeer (): void {}

  override setReceiver (): void {}

  override send (to: Incarnation, message: Message): void {
    this.sent.push([to, message])
  }
}

interface TestNode {
  configuration: Configuration
  network: RecordingNetwork
}

class TestCell {
  readonly clock = new FakeClock()
  readonly table = new MemoryTable({ clock: this.clock })
  readonly log = new MemoryLog()

  async start (self: Incarnation): Promise<TestNode> {
    const { clock, table, log } = this
    const network = new RecordingNetwork()
    const random = new SeededRandom(1)
    const configuration = new Configuration({ cell: 'c', self, table, network, clock, random, log, defaults: DEFAULT_RULES })
    await configuration.start()
    return { network, configuration }
  }
}

function rulesWithComment (comment: string): string {
  return `${DEFAULT_RULES}# ${comment}\n`
}

test('the defaults are in force while the table holds no rules', async () => {
  const { configuration } = await new TestCell().start('a@1')
  expect([configuration.version, configuration.value.text]).toEqual([0, DEFAULT_RULES])
})

test('of several changes to the same version, one is stored and the others get a conflict with the stored version', async () => {
  const cell = new TestCell()
  const nodes = [await cell.start('a@1'), await cell.start('b@1'), await cell.start('c@1')]
  const applied = await Promise.all(nodes.map(async ({ configuration }, number) => await configuration.apply(rulesWithComment(`operator ${number}`), 0)))
  expect(applied.filter(result => result.isOk()).length).toEqual(1)
  const errors = applied.flatMap(result => result.isErr() ? [result.error] : [])
  expect(errors).toEqual([{ fault: 'conflict', version: 1 }, { fault: 'conflict', version: 1 }])
  await cell.clock.advance(POLL_WAIT_MS)
  expect(new Set(nodes.map(({ configuration }) => configuration.value.text)).size).toEqual(1)
})

test('a change is accepted although the answer of the table was lost', async () => {
  const cell = new TestCell()
  const { configuration } = await cell.start('a@1')
  cell.table.faults.loseAnswers = true
  const applied = configuration.apply(rulesWithComment('lost answer'), null)
  await cell.clock.advance(POLL_WAIT_MS)
  expect((await applied).unwrapOr(0)).toEqual(1)
  expect(configuration.version).toEqual(1)
})

test('a change is refused while the table is down, and the version in force stays', async () => {
  const cell = new TestCell()
  const { configuration } = await cell.start('a@1')
  cell.table.faults.down = true
  const applied = await configuration.apply(rulesWithComment('outage'), null)
  expect(applied.isErr() && applied.error.fault).toEqual('unavailable')
  expect(configuration.version).toEqual(0)
})

test('an invalid text is refused with all its findings', async () => {
  const { configuration } = await new TestCell().start('a@1')
  const applied = await configuration.apply('classes: 7\nroutes: 7\n', null)
  const findings = applied.isErr() && applied.error.fault === 'findings' ? applied.error.findings : []
  expect(findings.length >= 2).toEqual(true)
})

test('a node that starts while the table is down takes the rules from a peer', async () => {
  const cell = new TestCell()
  cell.table.faults.down = true
  const { configuration, network } = await cell.start('a@1')
  expect(configuration.isReady).toEqual(false)
  configuration.handlePeerVersion('b@1', 4)
  expect(network.sent).toEqual([['b@1', { kind: 'fetch', what: 'rules' }]])
  configuration.receive('b@1', { kind: 'rules', version: 4, text: rulesWithComment('peer') })
  expect([configuration.isReady, configuration.version]).toEqual([true, 4])
})

const IGNORED_MESSAGES: Array<{ title: string, message: Message }> = [
  { title: 'an older version', message: { kind: 'rules', version: 1, text: rulesWithComment('older') } },
  { title: 'a different text with the same version', message: { kind: 'rules', version: 2, text: rulesWithComment('other') } },
  { title: 'a newer version that this release cannot read', message: { kind: 'rules', version: 9, text: 'classes: 7\n' } }
]

for (const { title, message } of IGNORED_MESSAGES) {
  test(`${title} from a peer changes nothing`, async () => {
    const { configuration } = await new TestCell().start('a@1')
    configuration.receive('b@1', { kind: 'rules', version: 2, text: rulesWithComment('in force') })
    configuration.receive('b@1', message)
    expect([configuration.version, configuration.value.text]).toEqual([2, rulesWithComment('in force')])
  })
}

test('a row that does not match the schema leaves the previous rules in force and is logged once', async () => {
  const cell = new TestCell()
  const { configuration } = await cell.start('a@1')
  await cell.table.commit({ operation: 'x', checks: [], writes: [{ key: 'rules/c', value: '{"later":true}' }] })
  await cell.clock.advance(3 * POLL_WAIT_MS)
  expect(configuration.version).toEqual(0)
  expect(cell.log.lines.filter(line => line.event.name === 'rules-unreadable').length).toEqual(1)
})
