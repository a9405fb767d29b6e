import { test } from 'node:test'
import { expect } from 'earl'
import { anything, assert, constantFrom, dictionary, property, string } from 'fast-check'
import { decodeMessage, encodeMessage } from '../../src/index.js'
import type { Envelope } from '../../src/types/wire.js'
import { EVERY_MESSAGE } from '../node/messages.js'

const BODIES = [...new Set(EVERY_MESSAGE.map(message => Object.keys(encodeMessage(message))[0]!)), 'unheard-of', '']

test('no envelope makes the decoder throw', () => {
  assert(property(constantFrom(...BODIES), dictionary(string(), anything()), (body, fields) => {
    const envelope: Envelope = { body, [body]: fields }
    const message = decodeMessage(envelope)
    expect(message === null || typeof message.kind === 'string').toEqual(true)
  }), { seed: 61, numRuns: 2000 })
})

const WRONG: Array<{ title: string, envelope: Envelope }> = [
  { title: 'a verdict that does not exist', envelope: { body: 'keyVerdict', keyVerdict: { id: 'a', verdict: 'maybe', outcome: 'run', answer: null } } },
  { title: 'a negative version', envelope: { body: 'voteRequest', voteRequest: { holder: 'a@1', version: -1 } } },
  { title: 'a version that is not a number', envelope: { body: 'voteRequest', voteRequest: { holder: 'a@1', version: NaN } } },
  { title: 'a name that is too long', envelope: { body: 'voteRequest', voteRequest: { holder: 'a'.repeat(10_000), version: 1 } } }
]

for (const { title, envelope } of WRONG) {
  test(`${title} is dropped`, () => {
    expect(decodeMessage(envelope)).toEqual(null)
  })
}
