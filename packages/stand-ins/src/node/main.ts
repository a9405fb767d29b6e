#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { SystemClock } from '@rattanstep/core'
import type { Address } from '@rattanstep/core'
import { formatHost, HttpInstanceList, HttpObjectStore } from '@rattanstep/platform'
import { PlatformServer } from './PlatformServer.js'
import { WorkerServer } from './WorkerServer.js'

/**
 * Command line of the stand-ins: starts the platform or one worker in this process.
 */

/** Times are in milliseconds; `--memory` is in MiB. */
const USAGE = `usage:
  platform [--host 127.0.0.1] [--port 0] [--lag MS]
  worker --id ID --platform HOST:PORT [--host 127.0.0.1] [--port 0] [--slots 8] [--cores 16] [--memory 65536]
         [--accelerators 0] [--connections 60] [--data-centre a] [--rack r1] [--linger MS]
`

/** Exit code for invalid arguments. */
const EXIT_MISUSE = 2
const REGISTER_RETRY_MS = 500
/** Time for which a worker continues to serve requests after SIGTERM or SIGINT. */
const DEFAULT_LINGER_MS = 5000

const clock = new SystemClock()

function parseOptions (args: string[]): Record<string, string> {
  const stringOption = { type: 'string' } as const
  const { values } = parseArgs({
    args,
    options: {
      host: stringOption,
      port: stringOption,
      lag: stringOption,
      id: stringOption,
      platform: stringOption,
      slots: stringOption,
      cores: stringOption,
      memory: stringOption,
      accelerators: stringOption,
      connections: stringOption,
      'data-centre': stringOption,
      rack: stringOption,
      linger: stringOption
    }
  })
  return values as Record<string, string>
}

function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  const port = Number(text.slice(colon + 1))
  if (colon < 1 || !(port > 0 && port < 65536)) throw new Error(`invalid --platform ${JSON.stringify(text)}: expected HOST:PORT, such as 127.0.0.1:7000`)
  return { host: text.slice(0, colon).replace(/^\[|\]$/g, ''), port }
}

function parseAmount (values: Record<string, string>, name: string, defaultAmount: number): number {
  const amount = Number(values[name] ?? defaultAmount)
  if (amount >= 0 && amount < Infinity) return amount
  throw new Error(`invalid --${name} ${JSON.stringify(values[name])}: expected a number of at least 0`)
}

function announceReady (address: Address, close: () => Promise<void>): void {
  const stop = (): void => {
    close().then(() => { process.exit(0) }, () => { process.exit(1) })
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  process.stdout.write(JSON.stringify({ ready: true, url: `http://${formatHost(address)}` }) + '\n')
}

async function runPlatform (values: Record<string, string>): Promise<void> {
  const server = new PlatformServer({ clock, lag: parseAmount(values, 'lag', 0) })
  const address = await server.listen({ host: values.host ?? '127.0.0.1', port: parseAmount(values, 'port', 0) })
  announceReady(address, async () => { await server.close() })
}

async function runWorker (values: Record<string, string>): Promise<void> {
  if (values.id === undefined || values.platform === undefined) throw new Error('missing option: a worker needs --id and --platform')
  const platform = parseAddress(values.platform)
  const instanceList = new HttpInstanceList({ address: platform })
  const server = new WorkerServer({
    clock,
    epoch: `${process.pid}-${Date.now()}`,
    objects: new HttpObjectStore({ address: platform }),
    instance: {
      id: values.id,
      role: 'worker',
      state: 'live',
      dataCentre: values['data-centre'] ?? 'a',
      rack: values.rack ?? 'r1',
      address: { host: '127.0.0.1', port: 0 },
      resources: {
        slots: parseAmount(values, 'slots', 8),
        cores: parseAmount(values, 'cores', 16),
        memory: parseAmount(values, 'memory', 65536),
        accelerators: parseAmount(values, 'accelerators', 0)
      },
      connections: parseAmount(values, 'connections', 60)
    }
  })
  const address = await server.listen({ host: values.host ?? '127.0.0.1', port: parseAmount(values, 'port', 0) })
  while ((await instanceList.register(server.instance)).isErr()) await clock.sleep(REGISTER_RETRY_MS)
  const linger = parseAmount(values, 'linger', DEFAULT_LINGER_MS)
  announceReady(address, async () => {
    await instanceList.leave(server.instance.id)
    await clock.sleep(linger)
    await instanceList.remove(server.instance.id)
    await server.close()
  })
}

async function main (args: string[]): Promise<void> {
  const [command, ...rest] = args
  if (command === '--help' || command === '-h') {
    process.stdout.write(USAGE)
    return
  }
  if (command === 'platform') return await runPlatform(parseOptions(rest))
  if (command === 'worker') return await runWorker(parseOptions(rest))
  throw new Error(`unknown command ${JSON.stringify(command ?? '')}: expected platform or worker`)
}

main(process.argv.slice(2)).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n${USAGE}`)
  process.exitCode = EXIT_MISUSE
})
