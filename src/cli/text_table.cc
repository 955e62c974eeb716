#include "cli/text_table.h"

#include <algorithm>
#include <utility>

namespace meadowthread {

TextTable::TextTable(std::vector<std::string> head) {
  this->rows.push_back(std::move(head));
}

void TextTable::Add(std::vector<std::string> cells) {
  cells.resize(this->rows.front().size());
  this->rows.push_back(std::move(cells));
}

std::string TextTable::Text() const {
  std::vector<std::size_t> widths(this->rows.front().size());
  for (const std::vector<std::string>& row : this->rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace meadowthread
