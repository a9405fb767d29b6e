import { describe, test } from 'node:test'
import { JsonLog } from '@rattanstep/telemetry'
import { JOBS_EVENTS } from '@rattanstep/jobs'
import { expect } from 'earl'
import { explainLine } from '../../src/runtime/explainLine.js'

describe('explainLine', () => {
  test('explains a line from a node, field by field', () => {
    let line = ''
    const log = new JsonLog({ node: 'node-1', destination: { write: text => { line = text } } })
    log.write(JOBS_EVENTS.lost, { job: 'scene-4', index: 2, worker: 'w3', reason: 'silent', more: true })
    const lines = explainLine(line).unwrap().split('\n')
    expect(lines[0]).toEqual(expect.includes('node-1 warn: task declared lost (4005 task-lost)'))
    expect(lines.slice(1)).toEqual([
      '  job     scene-4  identifier of the job',
      '  index   2        index of the task in the job',
      '  worker  w3       identifier of the worker',
      '  reason  silent   why the task was declared lost',
      '  more    true'
    ])
  })

  const refusals: Array<[string, string, string]> = [
    ['text', 'hello', 'expected one JSON object'],
    ['a list', '[]', 'expected one JSON object'],
    ['a line without an event', '{}', 'event (none) is not in the catalogue'],
    ['an unknown event', '{"event":1}', 'event 1 is not in the catalogue']
  ]
  for (const [title, line, reason] of refusals) {
    test(`refuses ${title}`, () => {
      const result = explainLine(line)
      expect(result.isErr() && result.error).toEqual(expect.includes(reason))
    })
  }
})
