import { describe, test } from 'node:test'
import { JsonLog } from '@rattanstep/telemetry'
import { JOBS_EVENTS } from '@rattanstep/jobs'
import { expect } from 'earl'
import { explainLine } from '../../src/runtime/explainLine.js'

describe('explainLine', () => {
  test('says what a line that a node wrote means, field by field', () => {
    let line = ''
    const log = new JsonLog({ node: 'node-1', destination: { write: text => { line = text } } })
    log.write(JOBS_EVENTS.lost, { job: 'scene-4', index: 2, worker: 'w3', reason: 'silent', more: true })
    const lines = explainLine(line).unwrap().split('\n')
    expect(lines[0]).toEqual(expect.includes('node-1 warn: a task was given up for lost (4005 task-lost)'))
    expect(lines.slice(1)).toEqual([
      '  job     scene-4  the job',
      '  index   2        number of the task',
      '  worker  w3       the worker',
      '  reason  silent   why',
      '  more    true'
    ])
  })

  const refusals: Array<[string, string, string]> = [
    ['text', 'hello', 'expected one JSON object'],
    ['a list', '[]', 'expected one JSON object'],
    ['a line without an event', '{}', 'event (none) is no number'],
    ['an unknown event', '{"event":1}', 'event 1 is no number']
  ]
  for (const [title, line, reason] of refusals) {
    test(`refuses ${title}`, () => {
      const result = explainLine(line)
      expect(result.isErr() && result.error).toEqual(expect.includes(reason))
    })
  }
})
