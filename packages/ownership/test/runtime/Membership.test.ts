import { test } from 'node:test'
import { MemoryLog } from '@rattanstep/telemetry'
import { expect } from 'earl'
import { Membership } from '../../src/runtime/Membership.js'
import type { MembershipEvent, MembershipState } from '../../src/runtime/Membership.js'

// A wrong transition would report a node as serving without a lease, or bring a stopped node back.

const paths: Array<[MembershipEvent[], MembershipState]> = [
  [[], 'outside'],
  [['lease'], 'outside'],
  [['name'], 'lapsed'],
  [['name', 'lease'], 'serving'],
  [['name', 'lease', 'lapse'], 'lapsed'],
  [['name', 'lease', 'remove'], 'outside'],
  [['name', 'lease', 'drain', 'lapse'], 'draining'],
  [['name', 'drain', 'remove'], 'left'],
  [['name', 'drain', 'remove', 'name'], 'draining'],
  [['drain'], 'left'],
  [['name', 'lease', 'stop', 'lease'], 'stopped']
]

for (const [events, state] of paths) {
  test(`${events.join(', ') || 'nothing'} leads to ${state}`, () => {
    const membership = new Membership(new MemoryLog())
    for (const event of events) membership.apply(event, { version: 1, activeVoters: [] })
    expect(membership.state).toEqual(state)
  })
}
