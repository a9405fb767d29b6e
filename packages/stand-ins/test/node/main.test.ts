import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { test } from 'node:test'
import { expect } from 'earl'
import { HttpInstanceList, HttpWorkers } from '@rattanstep/platform'

const MAIN = fileURLToPath(new URL('../../src/node/main.js', import.meta.url))

interface StartedProcess {
  child: ChildProcess
  url: URL
}

async function start (args: string[]): Promise<StartedProcess> {
  const child = spawn(process.execPath, [MAIN, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [line] = await once(createInterface({ input: child.stdout }), 'line') as [string]
  const ready = JSON.parse(line) as { ready: boolean, url: string }
  expect(ready.ready).toEqual(true)
  return { child, url: new URL(ready.url) }
}

async function stop (child: ChildProcess): Promise<number | null> {
  child.kill('SIGTERM')
  const [code] = await once(child, 'exit') as [number | null]
  return code
}

test('a worker process registers, runs a task, and leaves the instance list on SIGTERM', async () => {
  const platform = await start(['platform'])
  const worker = await start(['worker', '--id', 'w1', '--platform', platform.url.host, '--slots', '3', '--linger', '0'])
  const list = new HttpInstanceList({ address: { host: platform.url.hostname, port: Number(platform.url.port) } })
  const workers = new HttpWorkers()
  const [instance] = (await list.list()).unwrap()
  expect(instance?.resources.slots).toEqual(3)
  const task = { task: 't', fence: 1, duration: 5000, command: 'serve', resources: instance!.resources, checkpoint: '' }
  expect((await workers.start(instance!, task)).isOk()).toEqual(true)
  expect((await workers.report(instance!)).unwrap().tasks.map(entry => entry.state)).toEqual(['running'])
  expect(await stop(worker.child)).toEqual(0)
  expect((await list.list()).unwrap()).toEqual([])
  expect(await stop(platform.child)).toEqual(0)
  await Promise.all([list.close(), workers.close()])
})

const INVALID_ARGUMENTS = [[], ['nothing'], ['worker'], ['worker', '--id', 'w1', '--platform', 'nowhere'], ['platform', '--port', 'x'], ['platform', '--unknown']]

for (const args of INVALID_ARGUMENTS) {
  test(`invalid arguments end with exit code 2: ${args.join(' ') || 'no argument'}`, async () => {
    const child = spawn(process.execPath, [MAIN, ...args], { stdio: ['ignore', 'ignore', 'pipe'] })
    const lines: string[] = []
    createInterface({ input: child.stderr }).on('line', line => { lines.push(line) })
    const [code] = await once(child, 'exit') as [number | null]
    expect(code).toEqual(2)
    expect(lines.some(line => line.startsWith('    at '))).toEqual(false)
  })
}
