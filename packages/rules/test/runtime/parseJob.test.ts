import { readFileSync } from 'node:fs'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { parseJob } from '../../src/index.js'

const JOB = 'id: j\nclass: c\ntasks:\n  - { command: go }\n'

describe('parseJob', () => {
  const table: Array<[string, string, string[]]> = [
    ['accepts the smallest job', JOB, []],
    ['accepts an empty team in quotes', JOB + 'team: ""\n', []],
    ['refuses a team without a value', JOB + 'team:\n', ['5:1 wrong-value']],
    ['refuses a job without tasks', 'id: j\nclass: c\n', ['1:1 missing-key']],
    ['refuses an empty list of tasks', 'id: j\nclass: c\ntasks: []\n', ['3:8 missing-key']],
    ['refuses tasks given twice', JOB + 'tasks: []\n', ['5:1 duplicate-key']],
    ['refuses a task that is not a map', 'id: j\nclass: c\ntasks: [go]\n', ['3:9 not-a-map']],
    ['refuses the kind request, which only routes can use', JOB + 'kind: request\n', ['5:7 wrong-value']],
    ['refuses wrong units and unknown keys in a task', 'id: j\nclass: c\ntasks:\n  - { command: go, memory: 3, cuont: 4 }\n', ['4:28 wrong-unit', '4:31 unknown-key']],
    ['refuses more tasks than a job may have', 'id: j\nclass: c\ntasks:\n  - { command: go, count: 1000 }\n  - { command: go }\n', ['4:3 too-many']],
    ['refuses a list', '[]', ['1:1 not-a-map']],
    ['refuses bad YAML', 'id: [', ['1:6 bad-yaml']]
  ]
  for (const [title, text, expected] of table) {
    test(title, () => {
      const result = parseJob(text, { file: 'job.yaml' })
      const found = result.isOk() ? [] : result.error.map(({ code, place }) => `${place.line}:${place.column} ${code}`)
      expect(found).toEqual(expected)
    })
  }

  test('fills in every default', () => {
    expect(parseJob(JOB, { file: 'job.yaml' }).unwrap()).toEqual({
      id: 'j',
      kind: 'batch',
      class: 'c',
      team: '',
      tasks: [{ command: 'go', count: 1, cores: 1, memory: 256, accelerators: 0, expected: 60_000 }]
    })
  })

  for (const name of ['render-job', 'gang-job']) {
    test(`accepts the example ${name}`, () => {
      const text = readFileSync(new URL(`../../../../../examples/${name}.yaml`, import.meta.url), 'utf8')
      expect(parseJob(text, { file: name }).isOk()).toEqual(true)
    })
  }
})
