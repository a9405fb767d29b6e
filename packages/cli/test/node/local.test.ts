import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { after, before, describe, test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { DEFAULT_RULES, parseRules } from '@rattanstep/rules'
import { expect } from 'earl'
import { request } from 'undici'
import { ControlClient } from '../../src/index.js'
import { startLocal } from '../../src/node/startLocal.js'
import type { LocalCell } from '../../src/node/startLocal.js'
import { StartError } from '../../src/types/StartError.js'

const MAIN = fileURLToPath(new URL('../../src/node/main.js', import.meta.url))

function example (name: string): string {
  return readFileSync(new URL(`../../../../../examples/${name}.yaml`, import.meta.url), 'utf8')
}

describe('local as a process', () => {
  let child: ChildProcess
  const lines: string[] = []
  let exited: Promise<unknown[]>

  before(async () => {
    child = spawn(process.execPath, [MAIN, 'local', '--port', '0'], { stdio: ['ignore', 'pipe', 'ignore'] })
    exited = once(child, 'exit')
    const output = createInterface({ input: child.stdout! })
    output.on('line', line => lines.push(line))
    await Promise.race([once(output, 'line'), exited])
  })
  after(() => { child.kill('SIGKILL') })

  test('prints one line with the URL for callers, serves there, does not share its port and exits after SIGTERM', async () => {
    expect(lines[0] ?? '').toEqual(expect.regex(/^http:\/\/127\.0\.0\.1:\d+$/))
    const answer = await request(`${lines[0]}/hunts/1/final/checks`, { method: 'POST', body: 'mango' })
    expect(answer.headers['rattanstep-outcome']).toEqual('run')
    expect(await answer.body.text()).toEqual('mango')
    await expect(startLocal({ port: Number(new URL(lines[0]!).port), rules: DEFAULT_RULES })).toBeRejectedWith(StartError)
    await expect(startLocal({ port: 0, controlPort: Number(new URL(lines[0]!).port), rules: DEFAULT_RULES })).toBeRejectedWith('EADDRINUSE')
    child.kill('SIGTERM')
    expect(await exited).toEqual([0, null])
    expect(lines.length).toEqual(1)
  })
})

for (const name of ['hunt-desk', 'passport-desk']) {
  describe(`local with the rules of the ${name}`, () => {
    const text = example(name)
    let cell: LocalCell
    let client: ControlClient

    before(async () => {
      cell = await startLocal({ port: 0, rules: text })
      client = new ControlClient({ node: cell.control, secret: cell.secret })
    })
    after(async () => {
      await client.close()
      await cell.drain()
    })

    for (const route of parseRules(text, { file: name }).unwrap().routes) {
      const method = route.method === '*' ? 'PUT' : route.method
      const path = route.path.replace('/**', '/a/b').replaceAll('*', 'x')

      test(`runs ${method} ${path} in class ${route.class}`, async () => {
        const answer = await request(`http://${cell.front.host}:${cell.front.port}${path}`, { method: method as 'GET', body: method === 'GET' ? null : 'body' })
        await answer.body.dump()
        expect([answer.statusCode, answer.headers['rattanstep-outcome']]).toEqual([200, 'run'])
      })
    }

    test('returns the rules byte for byte', async () => {
      expect((await client.rules()).unwrap().text).toEqual(text)
    })
  })
}
