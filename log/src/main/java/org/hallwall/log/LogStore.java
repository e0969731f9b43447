/*
 * Licensed to the hallwall project under one or more contributor
 * license agreements.  See the NOTICE file distributed with
 * this work for additional information regarding copyright
 * ownership.  The hallwall project licenses this file to You
 * under the Apache License, Version 2.0 (the "License"); you may
 * not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *   https://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing,
 * software distributed under the License is distributed on an
 * "AS IS" BASIS, WITHOUT WARRANTIES OR CONDITIONS OF ANY
 * KIND, either express or implied.  See the License for the
 * specific language governing permissions and limitations
 * under the License.
 */
package org.hallwall.log;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jboss.logging.Logger;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Stores the persistent state of a voter in a data folder. Each write returns only after the files are synced.
 *
 * <p>The file {@code entries} is append-only. Each record holds a batch of entries, and an index that occurs again
 * replaces the entries from that index on. The file is rewritten when a snapshot replaces its entries.
 */
public final class LogStore implements Closeable {

    private static final Logger LOG = Logger.getLogger(LogStore.class);
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final String FOLDER = "folder";
    private static final String VOTE = "vote";
    private static final String SNAPSHOT = "snapshot";
    private static final String ENTRIES = "entries";

    private final Path directory;
    private RecoveredState recoveredState;
    private FileChannel entries;
    private long syncCount;

    private LogStore(Path directory) {
        this.directory = directory;
    }

    /**
     * Creates the data folder of a voter of a new fleet.
     *
     * @param directory the data folder
     * @throws LogStoreException if the folder is already initialized or cannot be written
     */
    public static void form(Path directory) throws LogStoreException {
        if (Files.exists(directory.resolve(FOLDER))) {
            throw new LogStoreException("the data folder is already initialized");
        }
        create(directory, true);
    }

    /**
     * Opens a data folder. An empty one is initialized with a new identity, which the other voters must admit.
     *
     * @param directory the data folder
     * @return the open store
     * @throws LogStoreException if the files are corrupt or cannot be read
     */
    public static LogStore open(Path directory) throws LogStoreException {
        if (!Files.exists(directory.resolve(FOLDER))) {
            LOG.warnf("log: the data folder is empty and must be admitted by a quorum before this voter may vote");
            create(directory, false);
        }
        LogStore store = new LogStore(directory);
        try {
            store.load();
        } catch (LogStoreException e) {
            throw e;
        } catch (IOException e) {
            throw new LogStoreException("cannot read the data folder", e);
        }
        return store;
    }

    /**
     * Returns the state that was recovered when the folder was opened.
     *
     * @return the recovered state
     */
    public RecoveredState recoveredState() {
        return recoveredState;
    }

    /**
     * Returns the number of disk syncs since the folder was opened.
     *
     * @return the number of syncs
     */
    public long syncCount() {
        return syncCount;
    }

    /**
     * Returns the size of the entries file.
     *
     * @return the size in bytes
     * @throws LogStoreException if the file cannot be read
     */
    public long entriesBytes() throws LogStoreException {
        try {
            return entries.size();
        } catch (IOException e) {
            throw new LogStoreException("cannot read the size of the entries file", e);
        }
    }

    /**
     * Stores the term and the vote.
     *
     * @param vote the term and the vote
     * @throws LogStoreException if the write fails
     */
    public void saveVote(LogVote vote) throws LogStoreException {
        replace(directory, VOTE, vote);
        syncCount++;
    }

    /**
     * Stores the identity of the data folder.
     *
     * @param folder the identity
     * @throws LogStoreException if the write fails
     */
    public void saveFolder(DataFolder folder) throws LogStoreException {
        replace(directory, FOLDER, folder);
        syncCount++;
    }

    /**
     * Appends a batch of entries, which replaces all stored entries from the index of its first entry on.
     *
     * @param batch the entries
     * @throws LogStoreException if the write fails
     */
    public void saveEntries(List<LogEntry> batch) throws LogStoreException {
        try {
            DurableFile.writeFully(entries, RecordCodec.encode(MAPPER.writeValueAsBytes(batch)));
            entries.force(false);
            syncCount++;
        } catch (IOException e) {
            throw new LogStoreException("cannot write the entries file", e);
        }
    }

    /**
     * Stores a snapshot and the entries after it.
     *
     * @param snapshot the snapshot
     * @param retained the entries after the snapshot
     * @throws LogStoreException if the write fails
     */
    public void saveSnapshot(LogSnapshot snapshot, List<LogEntry> retained) throws LogStoreException {
        replace(directory, SNAPSHOT, snapshot);
        try {
            entries.close();
            replace(directory, ENTRIES, retained);
            openEntries();
            syncCount += 2;
        } catch (IOException e) {
            throw new LogStoreException("cannot write the entries file", e);
        }
    }

    /**
     * Reads the latest snapshot.
     *
     * @return the snapshot
     * @throws LogStoreException if it cannot be read
     */
    public LogSnapshot snapshot() throws LogStoreException {
        return readSingleRecord(SNAPSHOT, LogSnapshot.class);
    }

    @Override
    public void close() throws LogStoreException {
        try {
            entries.close();
        } catch (IOException e) {
            throw new LogStoreException("cannot close the entries file", e);
        }
    }

    private static void create(Path directory, boolean admitted) throws LogStoreException {
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new LogStoreException("cannot create the data folder", e);
        }
        replace(directory, VOTE, new LogVote(0, null));
        replace(directory, SNAPSHOT, LogSnapshot.EMPTY);
        replace(directory, ENTRIES, List.of());
        // The identity is written last: a folder without it counts as empty.
        replace(directory, FOLDER, new DataFolder(UUID.randomUUID().toString(), admitted));
    }

    private void load() throws IOException {
        DataFolder folder = readSingleRecord(FOLDER, DataFolder.class);
        LogVote vote = readSingleRecord(VOTE, LogVote.class);
        LogSnapshot snapshot = snapshot();
        openEntries();
        recoveredState = new RecoveredState(folder, vote, snapshot, loadEntries(snapshot));
    }

    private List<LogEntry> loadEntries(LogSnapshot snapshot) throws IOException {
        List<LogEntry> loaded = new ArrayList<>();
        try (RecordReader reader = new RecordReader(directory, ENTRIES)) {
            for (byte[] content = reader.next(); content != null; content = reader.next()) {
                for (LogEntry e : MAPPER.readValue(content, new TypeReference<List<LogEntry>>() {})) {
                    mergeLoaded(loaded, e, snapshot.index());
                }
            }
            truncateAfter(reader);
        }
        return loaded;
    }

    private void truncateAfter(RecordReader reader) throws IOException {
        if (reader.validLength() < reader.length()) {
            LOG.warnf(
                    "log: truncated an incomplete record of %d bytes at the end of the entries file",
                    reader.length() - reader.validLength());
            entries.truncate(reader.validLength());
            entries.force(true);
        }
    }

    private static void mergeLoaded(List<LogEntry> loaded, LogEntry e, long snapshotIndex) throws LogStoreException {
        if (e.index() <= snapshotIndex) {
            loaded.clear();
            return;
        }
        int position = (int) (e.index() - snapshotIndex - 1);
        if (position > loaded.size()) {
            throw new LogStoreException(ENTRIES + " is damaged: index " + e.index() + " has a gap before it");
        }
        loaded.subList(position, loaded.size()).clear();
        loaded.add(e);
    }

    private void openEntries() throws IOException {
        entries = FileChannel.open(directory.resolve(ENTRIES), StandardOpenOption.WRITE);
        entries.position(entries.size());
    }

    private <T> T readSingleRecord(String file, Class<T> type) throws LogStoreException {
        try (RecordReader reader = new RecordReader(directory, file)) {
            byte[] content = reader.next();
            if (content == null || reader.next() != null) {
                throw new LogStoreException(file + " is damaged");
            }
            return MAPPER.readValue(content, type);
        } catch (LogStoreException e) {
            throw e;
        } catch (IOException e) {
            throw new LogStoreException(file + " cannot be read", e);
        }
    }

    private static void replace(Path directory, String file, Object content) throws LogStoreException {
        try {
            DurableFile.replace(directory, file, RecordCodec.encode(MAPPER.writeValueAsBytes(content)));
        } catch (IOException e) {
            throw new LogStoreException(file + " cannot be written", e);
        }
    }
}
