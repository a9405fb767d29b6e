import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { TestCell, SECRET } from './TestCell.js'
import type { NodeProcess } from './TestCell.js'

const cell = new TestCell()
let first: NodeProcess
let second: NodeProcess

before(async () => {
  await cell.startPlatform()
  for (const id of ['w1', 'w2', 'w3']) await cell.startWorker(id)
  first = await cell.startNode('n1')
  second = await cell.startNode('n2')
})

after(async () => { await cell.close() })

function front (node: NodeProcess): string {
  return `http://127.0.0.1:${node.addresses.front.port}`
}

async function control (node: NodeProcess, path: string, init: RequestInit = {}): Promise<Response> {
  const headers = { authorization: `Bearer ${SECRET}`, ...init.headers }
  return await fetch(`http://127.0.0.1:${node.addresses.control.port}${path}`, { ...init, headers })
}

async function until (condition: () => Promise<boolean>): Promise<void> {
  while (!await condition()) await new Promise(resolve => setTimeout(resolve, 25))
}

async function send (node: NodeProcess, body: string): Promise<{ status: number, outcome: string | null, body: string }> {
  const answer = await fetch(`${front(node)}/check`, { method: 'POST', body })
  return { status: answer.status, outcome: answer.headers.get('rattanstep-outcome'), body: await answer.text() }
}

async function countRuns (): Promise<number> {
  const counts = await Promise.all(cell.workers.map(async worker => {
    const { requests } = await (await fetch(`${worker.url}/rattanstep/log`, { method: 'POST', body: '{}' })).json() as { requests: Record<string, number> }
    return Object.values(requests).reduce((sum, count) => sum + count, 0)
  }))
  return counts.reduce((sum, count) => sum + count, 0)
}

test('a request to any node gets a complete answer from one worker', async () => {
  for (const node of [first, second]) {
    await until(async () => (await send(node, 'probe')).status === 200)
    for (let number = 0; number < 20; number++) {
      const body = `${node.id} asks ${number}`
      const answer = await send(node, body)
      if (answer.status !== 200) console.log(cell.describeNodes())
      expect(answer).toEqual({ status: 200, outcome: 'run', body })
    }
  }
})

test('rules applied on one node come into force on the other', async () => {
  const text = await (await control(first, '/v1/rules')).text()
  const changed = text + '# a comment that must survive\n'
  const applied = await control(first, '/v1/rules', { method: 'PUT', body: changed })
  expect(applied.status).toEqual(200)
  await until(async () => await (await control(second, '/v1/rules')).text() === changed)
})

test('of two operators who change the same version of the rules, one succeeds and the other gets a conflict', async () => {
  const shown = await control(first, '/v1/rules')
  const version = shown.headers.get('rattanstep-rules-version')!
  const text = await shown.text()
  const headers = { 'rattanstep-rules-version': version }
  const answers = await Promise.all([first, second].map(async (node, number) =>
    (await control(node, '/v1/rules', { method: 'PUT', headers, body: `${text}# operator ${number}\n` })).status))
  expect(answers.sort((a, b) => a - b)).toEqual([200, 409])
})

test('a request repeated with the same key on another node gets the first answer and does not run again', async () => {
  const headers = { 'idempotency-key': 'guess-17' }
  const request = { method: 'POST', headers, body: 'a guess' }
  const before = await countRuns()
  const answers = []
  for (const node of [first, second, first]) {
    const answer = await fetch(`${front(node)}/submissions`, request)
    answers.push([answer.status, answer.headers.get('rattanstep-outcome'), await answer.text()])
  }
  expect(answers).toEqual([[200, 'run', 'a guess'], [200, 'run', 'a guess'], [200, 'run', 'a guess']])
  expect(await countRuns() - before).toEqual(1)
})

test('a slow answer to an idempotent request is still delivered', async () => {
  const answer = await fetch(`${front(first)}/slow?time=1500`)
  expect([answer.status, answer.headers.get('rattanstep-outcome')]).toEqual([200, 'run'])
})

test('the control interface refuses a request without the secret', async () => {
  const answer = await fetch(`http://127.0.0.1:${first.addresses.control.port}/v1/status`)
  expect(answer.status).toEqual(401)
})

test('a batch job and a gang are accepted and run to completion', async () => {
  const shown = await (await control(first, '/v1/rules')).text()
  const rules = shown.replace('classes:\n', `classes:
  - { name: renders, kind: batch, priority: 20, patience: 1h, bound: 1m } # test
  - { name: chorus, kind: gang, priority: 30, patience: 1h, bound: 1m } # test
`)
  expect((await control(first, '/v1/rules', { method: 'PUT', body: rules })).status).toEqual(200)
  await until(async () => await (await control(second, '/v1/rules')).text() === rules)
  const resources = { slots: 1, cores: 1, memory: 64, accelerators: 0 }
  const task = { command: 'run 200', resources }
  const jobs = [
    { id: 'render-1', kind: 'batch', class: 'renders', tasks: [task, task] },
    { id: 'chorus-1', kind: 'gang', class: 'chorus', tasks: [task, task, task] }
  ]
  for (const job of jobs) {
    const answer = await control(first, '/v1/jobs', { method: 'POST', body: JSON.stringify(job) })
    expect([job.id, answer.status, answer.status === 201 ? '' : await answer.text()]).toEqual([job.id, 201, ''])
  }
  for (const { id } of jobs) {
    await until(async () => {
      const { state } = await (await control(second, `/v1/jobs/${id}`)).json() as { state: string }
      return state === 'done'
    })
  }
})

test('a job that cannot run is refused with findings', async () => {
  const job = { id: 'too-large', kind: 'batch', class: 'renders', tasks: [{ command: 'run 1', resources: { slots: 9, cores: 1, memory: 1, accelerators: 0 } }] }
  const answer = await control(first, '/v1/jobs', { method: 'POST', body: JSON.stringify(job) })
  expect(answer.status).toEqual(422)
})

test('SIGTERM stops a node without interrupting the request that it serves', async () => {
  const slow = fetch(`${front(second)}/slow?time=1500`, { method: 'POST' })
  await new Promise(resolve => setTimeout(resolve, 200))
  second.process.kill('SIGTERM')
  const answer = await slow
  expect([answer.status, answer.headers.get('rattanstep-outcome')]).toEqual([200, 'run'])
  expect(await second.exited).toEqual(0)
  await until(async () => (await send(first, 'after')).status === 200)
})
