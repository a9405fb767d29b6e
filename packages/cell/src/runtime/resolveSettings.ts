import { getHeapStatistics } from 'node:v8'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { LineCounter, parseDocument } from 'yaml'
import type { Document } from 'yaml'
import type { Finding } from '@rattanstep/core'
import { SMALLEST_MACHINE, defaultLimits } from '../callers/limits.js'
import type { ClientLimits } from '../callers/limits.js'
import type { CellSettings } from '../types/settings.js'

const ADDRESS = /^[0-9.]+:[0-9]+$/
const DURATION = /^([0-9]+(?:\.[0-9]+)?) *(ms|s)$/
const SIZE = /^([0-9]+(?:\.[0-9]+)?) *(B|KB|MB)$/
const BYTES_PER_UNIT = { B: 1, KB: 1024, MB: 1_048_576 }
const LEVELS = ['debug', 'info', 'warn', 'error'] as const

/**
 * Parses and checks the settings of a process.
 *
 * @param text - settings as YAML
 * @param file - name of the file, for findings
 * @returns the settings, or all findings with their positions
 */
export function resolveSettings (text: string, file: string): Result<CellSettings, Finding[]> {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines })
  const findings: Finding[] = document.errors.map(error => ({ code: 'bad-yaml', message: error.message, place: { file, line: error.linePos?.[0].line ?? 1, column: error.linePos?.[0].col ?? 1 } }))
  if (findings.length > 0) return Err(findings)
  const read = new SettingsReader(document, lines, file, findings)
  const ip = read.text('ip')
  const linkPort = read.count('listen', 'linkPort')
  const rowBytes = read.sizeOr(0, 'bounds', 'rowBytes')
  const settings: CellSettings = {
    node: read.text('node'),
    dataCentre: read.text('dataCentre'),
    strength: strengthOf(read.count('capacity', 'cores') * read.count('capacity', 'coreShare'), read.count('capacity', 'linkRate')),
    ip,
    listen: {
      callers: read.address('listen', 'callers'),
      readiness: read.address('listen', 'readiness'),
      linkPort,
      linkAddress: read.addressOr(`${ip}:${linkPort}`, 'listen', 'linkAddress'),
      metricsPort: read.count('listen', 'metricsPort')
    },
    store: { address: read.address('store', 'address') },
    advice: { address: read.textOr('', 'advice', 'address') },
    bounds: {
      grace: read.duration('bounds', 'grace'),
      leaseMax: read.duration('bounds', 'leaseMax'),
      finishedJobRetention: read.duration('bounds', 'finishedJobRetention'),
      ...(rowBytes === 0 ? {} : { rowBytes })
    },
    overload: { preemption: read.flagOr(false, 'overload', 'preemption'), admission: read.flagOr(false, 'overload', 'admission') },
    limits: readLimits(read),
    logLevel: read.level('logLevel')
  }
  return findings.length > 0 ? Err(findings) : Ok(settings)
}

/** Link rate that is sufficient for a decider: several times the traffic of the decider of the largest deployment at peak load. */
const DECIDER_LINK_RATE_MBPS = 40

function strengthOf (cores: number, linkRate: number): number {
  return cores * Math.min(1, linkRate / DECIDER_LINK_RATE_MBPS)
}

/** @returns maximum size of the heap of this process in MB */
function heapSize (): number {
  return getHeapStatistics().heap_size_limit / BYTES_PER_UNIT.MB
}

/** Reads the section `limits`. Each setting is optional; most defaults follow from the memory and the descriptors of the machine. */
function readLimits (read: SettingsReader): ClientLimits {
  const memory = read.sizeOr(SMALLEST_MACHINE.memory * BYTES_PER_UNIT.MB, 'limits', 'memory') / BYTES_PER_UNIT.MB
  const defaults = defaultLimits(memory, read.countOr(SMALLEST_MACHINE.descriptors, 'limits', 'descriptors'), heapSize())
  const count = (name: keyof ClientLimits): number => read.countOr(defaults[name], 'limits', name)
  const size = (name: keyof ClientLimits): number => read.sizeOr(defaults[name], 'limits', name)
  const duration = (name: keyof ClientLimits): number => read.durationOr(defaults[name], 'limits', name)
  return {
    connections: count('connections'),
    headBytes: size('headBytes'),
    headCount: count('headCount'),
    headTimeout: duration('headTimeout'),
    bodyTimeout: duration('bodyTimeout'),
    idleTimeout: duration('idleTimeout'),
    responseTimeout: duration('responseTimeout'),
    pipelinedRequests: count('pipelinedRequests'),
    bodyBytes: size('bodyBytes'),
    requestTimeout: duration('requestTimeout'),
    waitingWrites: count('waitingWrites'),
    waitingQueries: count('waitingQueries'),
    statusConnections: count('statusConnections'),
    links: count('links'),
    newLinks: count('newLinks'),
    helloChars: count('helloChars'),
    helloTimeout: duration('helloTimeout'),
    openJobBytes: size('openJobBytes'),
    openTasks: count('openTasks'),
    startOrders: count('startOrders'),
    deferredJobs: count('deferredJobs'),
    logBytes: size('logBytes')
  }
}

/** Reads single settings and collects the findings. */
class SettingsReader {
  constructor (private readonly document: Document.Parsed, private readonly lines: LineCounter, private readonly file: string, private readonly findings: Finding[]) {}

  text (...path: string[]): string {
    const value = this.document.getIn(path)
    if (typeof value === 'string' && value !== '') return value
    return this.addFinding(path, value, 'a non-empty string', '')
  }

  textOr (fallback: string, ...path: string[]): string {
    const value = this.document.getIn(path)
    return value === undefined || value === null ? fallback : this.text(...path)
  }

  address (...path: string[]): string {
    const value = this.document.getIn(path)
    if (typeof value === 'string' && ADDRESS.test(value)) return value
    return this.addFinding(path, value, 'an address such as 10.1.0.13:8161', '')
  }

  addressOr (fallback: string, ...path: string[]): string {
    const value = this.document.getIn(path)
    return value === undefined || value === null ? fallback : this.address(...path)
  }

  count (...path: string[]): number {
    const value = this.document.getIn(path)
    if (typeof value === 'number' && value >= 0) return value
    return this.addFinding(path, value, 'a number of at least 0', 0)
  }

  flagOr (fallback: boolean, ...path: string[]): boolean {
    const value = this.document.getIn(path)
    if (value === undefined || value === null) return fallback
    return typeof value === 'boolean' ? value : this.addFinding(path, value, 'true or false', fallback)
  }

  countOr (fallback: number, ...path: string[]): number {
    const value = this.document.getIn(path)
    return value === undefined || value === null ? fallback : this.count(...path)
  }

  /** @returns bytes */
  sizeOr (fallback: number, ...path: string[]): number {
    const value = this.document.getIn(path)
    if (value === undefined || value === null) return fallback
    const match = typeof value === 'string' ? SIZE.exec(value) : null
    if (match !== null) return Math.round(Number(match[1]) * BYTES_PER_UNIT[match[2] as keyof typeof BYTES_PER_UNIT])
    return this.addFinding(path, value, 'a size such as 210 MB, 64 KB or 512 B', fallback)
  }

  /** @returns ms */
  durationOr (fallback: number, ...path: string[]): number {
    const value = this.document.getIn(path)
    return value === undefined || value === null ? fallback : this.duration(...path)
  }

  /** @returns ms */
  duration (...path: string[]): number {
    const value = this.document.getIn(path)
    const match = typeof value === 'string' ? DURATION.exec(value) : null
    if (match !== null) return Number(match[1]) * (match[2] === 's' ? 1000 : 1)
    return this.addFinding(path, value, 'a duration such as 6 s or 250 ms', 0)
  }

  level (...path: string[]): CellSettings['logLevel'] {
    const value = this.document.getIn(path)
    if (value === undefined || value === null) return 'info'
    return LEVELS.find(level => level === value) ?? this.addFinding(path, value, `one of ${LEVELS.join(', ')}`, 'info')
  }

  private addFinding<Value> (path: string[], value: unknown, expected: string, fallback: Value): Value {
    const node = this.document.getIn(path, true) as { range?: [number, number, number] } | undefined
    const place = this.lines.linePos(node?.range?.[0] ?? 0)
    this.findings.push({
      code: value === undefined ? 'missing-setting' : 'bad-setting',
      place: { file: this.file, line: place.line, column: place.col },
      message: `${path.join('.')} is ${value === undefined ? 'missing' : JSON.stringify(value)}; expected ${expected}`
    })
    return fallback
  }
}
