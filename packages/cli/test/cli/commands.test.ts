import { readFile } from 'node:fs/promises'
import { createServer } from 'node:http'
import type { IncomingMessage, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Writable } from 'node:stream'
import { after, before, beforeEach, describe, test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'
import { runProgram } from '../../src/index.js'

/** A canned response of the fake node. */
interface FakeResponse {
  status: number
  body?: string
  headers?: Record<string, string>
}

/** A control server that records requests and sends canned responses. It closes the connection if it has none. */
class FakeNode {
  readonly requests: Array<{ line: string, headers: IncomingMessage['headers'], body: string }> = []
  responses: Record<string, FakeResponse> = {}
  private readonly server: Server = createServer((request, response) => {
    const line = `${request.method} ${request.url}`
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      this.requests.push({ line, headers: request.headers, body: Buffer.concat(chunks).toString() })
      const fakeResponse = this.responses[line]
      if (fakeResponse === undefined) {
        request.socket.destroy()
        return
      }
      response.writeHead(fakeResponse.status, fakeResponse.headers).end(fakeResponse.body)
    })
  })

  async listen (): Promise<string> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  async close (): Promise<void> {
    await new Promise(resolve => this.server.close(resolve))
  }
}

function example (name: string): string {
  return fileURLToPath(new URL(`../../../../../examples/${name}.yaml`, import.meta.url))
}

class TextSink extends Writable {
  text = ''

  override _write (chunk: Buffer, _encoding: string, callback: () => void): void {
    this.text += chunk.toString()
    callback()
  }
}

const SECRET = 'a-secret-of-the-test'

async function run (args: string[], env: Record<string, string> = {}): Promise<{ code: number, out: string, err: string }> {
  const stdout = new TextSink()
  const stderr = new TextSink()
  const code = await runProgram(args, { stdout, stderr, env: { RATTANSTEP_SECRET: SECRET, ...env } })
  return { code, out: stdout.text, err: stderr.text }
}

describe('commands without a node', () => {
  const table: Array<[string, string[], number, string]> = [
    ['check accepts rules', ['check', example('hunt-desk')], 0, 'no findings (rules)'],
    ['check accepts settings', ['check', example('node')], 0, 'no findings (settings)'],
    ['check accepts a job', ['check', example('render-job')], 0, 'no findings (job)'],
    ['check prints findings with their position', ['check', '--kind', 'settings', example('render-job')], 1, `${example('render-job')}:2:1: missing-key cell is missing`],
    ['check prints findings as JSON', ['check', '--json', '--kind', 'job', example('node')], 1, '"code": "unknown-key"'],
    ['check refuses a binary file', ['check', process.execPath], 1, 'too-large'],
    ['check refuses a device that never ends', ['check', '/dev/zero'], 1, 'too-large'],
    ['check refuses a missing file', ['check', 'missing.yaml'], 2, 'missing.yaml cannot be read (ENOENT)'],
    ['check refuses a directory', ['check', '.'], 2, '. cannot be read (EISDIR)'],
    ['check refuses an unknown kind', ['check', '--kind', 'x', example('node')], 2, 'expected one of rules, settings, job'],
    ['check needs a file', ['check'], 2, 'Not enough positional arguments'],
    ['an unknown command is a command-line error', ['chekc', 'x'], 2, 'Command not found'],
    ['an unknown option is a command-line error', ['check', '--yes', 'x'], 2, 'Unsupported option name'],
    ['a node without a valid address is a command-line error', ['status', '--node', 'localhost'], 2, '"localhost" was given as node'],
    ['a version that is not a number is a command-line error', ['apply', '--based-on', 'x', example('hunt-desk')], 2, 'expected a version such as 7'],
    ['apply checks the file before it connects', ['apply', example('node')], 1, 'unknown-key'],
    ['submit checks the file before it connects', ['submit', example('node')], 1, 'missing-key'],
    ['status reports a node that cannot be reached', ['status', '--node', '127.0.0.1:1'], 1, 'ECONNREFUSED']
  ]
  for (const [title, args, code, text] of table) {
    test(title, async () => {
      const result = await run(args)
      expect(result.code).toEqual(code)
      expect(result.out + result.err).toEqual(expect.includes(text))
      expect(result.out + result.err).not.toEqual(expect.regex(/\n\s+at /))
    })
  }

  for (const name of ['apply', 'cancel', 'check', 'drain', 'jobs', 'show', 'status', 'submit']) {
    test(`${name} --help prints its usage`, async () => {
      const { code, out } = await run([name, '--help'])
      expect(code).toEqual(0)
      expect(out).toEqual(expect.includes(`rattanstep ${name}`))
    })
  }
})

describe('commands that call a node', () => {
  const node = new FakeNode()
  let env: Record<string, string> = {}

  before(async () => {
    env = { RATTANSTEP_NODE: await node.listen() }
  })
  beforeEach(() => {
    node.requests.length = 0
    node.responses = {}
  })
  after(async () => { await node.close() })

  test('explain job sends its question unchanged and prints the answer as text or as JSON', async () => {
    const metrics = ['--metrics', env.RATTANSTEP_NODE!]
    const explanation = { phase: 'hypothetical', refusal: 'there is no route é&', steps: [], omitted: 0, pending: 0 }
    node.responses['GET /explain?job=00000000000000a1'] = { status: 200, body: JSON.stringify({ phase: 'completed', steps: [], omitted: 0, pending: 0 }) }
    node.responses['GET /explain?route=%C3%A9%26&steps=%5B%7B%7D%5D'] = { status: 200, body: JSON.stringify(explanation) }
    node.responses['GET /explain?job=00000000000000a2'] = { status: 429, body: 'later\n' }
    expect(await run(['explain', 'job', '00000000000000a1', ...metrics])).toEqual({ code: 0, out: 'phase: completed\n', err: '' })
    const refused = await run(['explain', 'job', '--route', 'é&', '--steps', '[{}]', '--json', ...metrics])
    expect([refused.code, JSON.parse(refused.out)]).toEqual([1, explanation])
    expect(await run(['explain', 'job', '00000000000000a2', ...metrics])).toEqual({ code: 1, out: '', err: 'later\n' })
    expect((await run(['explain', 'job', ...metrics])).code).toEqual(2)
  })

  test('show prints the text byte for byte, and the version to standard error', async () => {
    const text = '# é\r\nclasses: []  \n\n'
    node.responses['GET /v1/rules'] = { status: 200, body: text, headers: { 'rattanstep-rules-version': '7' } }
    expect(await run(['show'], env)).toEqual({ code: 0, out: text, err: 'version 7\n' })
    expect(JSON.parse((await run(['show', '--json'], env)).out)).toEqual({ version: 7, text })
    expect(node.requests[0]?.headers.authorization).toEqual(`Bearer ${SECRET}`)
  })

  test('apply sends the file unchanged with the version that it is based on', async () => {
    node.responses['PUT /v1/rules'] = { status: 200, body: '{"version":8}' }
    const { code, out } = await run(['apply', '--based-on', '7', example('hunt-desk')], env)
    expect([code, out]).toEqual([0, `${example('hunt-desk')} is version 8 of the rules\n`])
    expect(node.requests[0]?.headers['rattanstep-rules-version']).toEqual('7')
    expect(node.requests[0]?.body).toEqual(await readFile(example('hunt-desk'), 'utf8'))
    await run(['apply', example('hunt-desk')], env)
    expect(node.requests[1]?.headers['rattanstep-rules-version']).toEqual('*')
  })

  const refusals: Array<[string, FakeResponse | undefined, string]> = [
    ['another operator applied rules first', { status: 409, body: '{"version":9}' }, 'version 9 is in force'],
    ['the node has findings', { status: 422, body: '{"findings":[{"code":"no-asker","message":"m","place":{"file":"f","line":1,"column":1}}]}' }, 'no-asker m'],
    ['the table is unavailable', { status: 503, body: '{"detail":"table is down"}' }, 'table is down'],
    ['the response of the table was lost', { status: 503, body: '{"fault":"unknown","error":"no answer"}' }, '(no answer); it may have taken effect'],
    ['the secret is wrong', { status: 401, body: '' }, 'RATTANSTEP_SECRET'],
    ['the address belongs to another server', { status: 200, body: 'hello' }, 'was not understood'],
    ['the connection breaks', undefined, 'it may have taken effect']
  ]
  for (const [title, answer, text] of refusals) {
    test(`apply ends with 1 when ${title}`, async () => {
      if (answer !== undefined) node.responses['PUT /v1/rules'] = answer
      const result = await run(['apply', example('hunt-desk')], env)
      expect(result.code).toEqual(1)
      expect(result.out + result.err).toEqual(expect.includes(text))
    })
  }

  test('submit sends the job with its defaults filled in', async () => {
    node.responses['POST /v1/jobs'] = { status: 201, body: '{"id":"scene-4"}' }
    const { code } = await run(['submit', example('render-job')], env)
    expect(code).toEqual(0)
    expect(JSON.parse(node.requests[0]?.body ?? '')).toEqual({
      id: 'scene-4',
      kind: 'batch',
      class: 'audio-render',
      team: 'audio-studio',
      tasks: [1, 2, 3].map(() => ({ command: 'render scene-4', resources: { slots: 1, cores: 2, memory: 2048, accelerators: 0 }, expected: 600_000 }))
    })
  })

  test('cancel, drain and jobs send their requests and print the responses', async () => {
    node.responses = {
      'DELETE /v1/jobs/a%2Fb': { status: 200, body: '{"state":"cancelling"}' },
      'POST /v1/drain': { status: 202, body: '{}' },
      'GET /v1/jobs': { status: 200, body: '{"jobs":[{"id":"j","kind":"gang","class":"c","team":"t","state":"open","reason":""}]}' },
      'GET /v1/jobs/j': { status: 200, body: '{"id":"j","kind":"gang","class":"c","state":"failed","reason":"r","tasks":[{"index":0,"state":"failed","worker":"","attempts":3,"reason":"exit 1"}]}' },
      'GET /v1/jobs/k': { status: 404, body: '{"detail":"no job k"}' }
    }
    expect((await run(['cancel', 'a/b'], env)).out).toEqual('job a/b is cancelling; see jobs a/b\n')
    expect((await run(['drain'], env)).code).toEqual(0)
    expect((await run(['jobs'], env)).out).toEqual('ID  KIND  CLASS  TEAM  STATE  REASON\nj   gang  c      t     open\n')
    expect((await run(['jobs', 'j'], env)).out).toEqual('job j: gang of class c, failed (r)\nTASK  STATE   WORKER  FAILED RUNS  REASON\n0     failed  -       3            exit 1\n')
    expect((await run(['jobs', 'k'], env)).code).toEqual(1)
  })

  test('status prints the whole status as JSON', async () => {
    const status = { node: 'node-1', problems: [{ code: 'table-down' }] }
    node.responses['GET /v1/status'] = { status: 200, body: JSON.stringify(status) }
    expect((await run(['status'], env)).out).toEqual(expect.includes('WRONG (1, worst first):\n  table-down'))
    expect(JSON.parse((await run(['status', '--json'], env)).out)).toEqual(status)
  })
})
